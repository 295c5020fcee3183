#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "decisions/reason.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// The state of a task and the reason for it.
struct Explanation
{
    enum class State : std::uint8_t { Unknown, Waiting, Placed, Refused, Ended };

    State state = State::Unknown;
    Reason reason = Reason::None;
    TargetId target = TargetId::None; ///< of a placed task
    /// Number of targets that were compared at the last decision; for a placed gang, the number of
    /// tasks that were placed together.
    std::uint32_t considered = 0;
    /// Of a waiting task: the waiting tasks of its team and class, including itself.
    std::uint32_t waitingInClass = 0;
    Instant at{}; ///< time of the last decision about it
    std::string text; ///< the explanation for operators, in words
};

} // namespace guavavalve
