#pragma once

#include "core/enumnames.h"
#include "workflows/ids.h"

#include <cstddef>
#include <cstdint>

namespace guavavalve::workflows {

/// Why tasks that are ready have no place yet.
enum class WaitCause : std::uint8_t {
    Querier, ///< no instance was free to put the question to the admission service
    Admission, ///< the admission service has not answered
    Room, ///< none on the targets that may run them
    Limit, ///< their client account is at its upper limit
    Verdict, ///< targets were lost with them, and it is not known yet whether these have crashed
};

inline constexpr std::size_t waitCauseCount = 5;

inline constexpr EnumNames<WaitCause, waitCauseCount> waitCauseNames{{
    {WaitCause::Querier, "asker"},
    {WaitCause::Admission, "admission"},
    {WaitCause::Room, "room"},
    {WaitCause::Limit, "limit"},
    {WaitCause::Verdict, "verdict"},
}};

/// A step that a plan has left waiting, at least in part.
struct WaitingStep
{
    StepAddress step;
    WaitCause cause = WaitCause::Room;
};

} // namespace guavavalve::workflows
