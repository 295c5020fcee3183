#pragma once

#include "core/enumnames.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace guavavalve::attribution {

/// What a job's time went to, beside its own work.
enum class DelayCause : std::uint8_t {
    NoLeader, ///< no controller decided
    LeaderLag, ///< the controller's loop ran late
    Asker, ///< no instance was free to put a question to the admission service
    Admission, ///< the admission service had not answered
    Room, ///< no room on the targets that may run it
    Limit, ///< the client account was at its upper limit
    TargetFailed, ///< a run ended as failed
    TargetLost, ///< a target was cut off, crashed or left with a run
    TargetSilent, ///< a target did not take a start, or refused it
    GangBroken, ///< another member of the gang ended, or did not come
    Moved, ///< stopped, to be begun elsewhere
    SlowRun, ///< it ran for longer than its caller had estimated
    Unexplained,
};

inline constexpr std::size_t delayCauseCount = 13;

inline constexpr EnumNames<DelayCause, delayCauseCount> delayCauseNames{{
    {DelayCause::NoLeader, "no-leader"},
    {DelayCause::LeaderLag, "leader-lag"},
    {DelayCause::Asker, "asker"},
    {DelayCause::Admission, "admission"},
    {DelayCause::Room, "room"},
    {DelayCause::Limit, "limit"},
    {DelayCause::TargetFailed, "target-failed"},
    {DelayCause::TargetLost, "target-lost"},
    {DelayCause::TargetSilent, "target-silent"},
    {DelayCause::GangBroken, "gang-broken"},
    {DelayCause::Moved, "moved"},
    {DelayCause::SlowRun, "slow-run"},
    {DelayCause::Unexplained, "unexplained"},
}};

/// Milliseconds by cause.
using DelayTimes = std::array<std::int64_t, delayCauseCount>;

inline std::int64_t &timeOf(DelayTimes &times, DelayCause cause)
{
    return times[static_cast<std::size_t>(cause)];
}

} // namespace guavavalve::attribution
