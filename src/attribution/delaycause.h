#pragma once

#include "core/enumnames.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace guavavalve::attribution {

/// Why a job took longer than its own work.
enum class DelayCause : std::uint8_t {
    NoLeader, ///< no controller made decisions
    LeaderLag, ///< the controller's loop was behind schedule
    Querier, ///< no instance was free to query the admission service; named "asker" in logs
    Admission, ///< the admission service had not answered yet
    Room, ///< no target that may run it had room
    Limit, ///< the client account was at its upper resource limit
    TargetFailed, ///< a run ended as failed
    TargetLost, ///< a target was disconnected, crashed or left the fleet during a run
    TargetSilent, ///< a target did not answer a start order, or rejected it
    GangBroken, ///< another member of the gang ended or did not start
    Moved, ///< a run was stopped and restarted on another target
    SlowRun, ///< a run took longer than its caller had estimated
    Unexplained, ///< time for which the logs show no cause
};

inline constexpr std::size_t delayCauseCount = 13;

inline constexpr EnumNames<DelayCause, delayCauseCount> delayCauseNames{{
    {DelayCause::NoLeader, "no-leader"},
    {DelayCause::LeaderLag, "leader-lag"},
    {DelayCause::Querier, "asker"},
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

/// Milliseconds, indexed by DelayCause.
using DelayTimes = std::array<std::int64_t, delayCauseCount>;

inline std::int64_t &timeOf(DelayTimes &times, DelayCause cause)
{
    return times[static_cast<std::size_t>(cause)];
}

} // namespace guavavalve::attribution
