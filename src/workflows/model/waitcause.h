#pragma once

#include "core/enumnames.h"
#include "workflows/model/ids.h"

#include <cstddef>
#include <cstdint>

namespace guavavalve::workflows {

/// Why ready tasks have not been placed yet.
enum class WaitCause : std::uint8_t {
    Querier, ///< no instance was free to query the admission service
    Admission, ///< the admission service has not answered
    Room, ///< no target that may run them has room
    Limit, ///< their client account is at its limit
    Verdict, ///< targets that ran them were lost, and it is not known yet whether these crashed
};

inline constexpr std::size_t waitCauseCount = 5;

inline constexpr EnumNames<WaitCause, waitCauseCount> waitCauseNames{{
    {WaitCause::Querier, "asker"},
    {WaitCause::Admission, "admission"},
    {WaitCause::Room, "room"},
    {WaitCause::Limit, "limit"},
    {WaitCause::Verdict, "verdict"},
}};

/// A step that a plan could not place completely.
struct WaitingStep
{
    StepAddress step;
    WaitCause cause = WaitCause::Room;
};

} // namespace guavavalve::workflows
