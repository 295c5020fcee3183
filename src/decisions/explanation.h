#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "decisions/reason.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// Why a task is where it is.
struct Explanation
{
    enum class State : std::uint8_t { Unknown, Waiting, Placed, Refused, Ended };

    State state = State::Unknown;
    Reason reason = Reason::None;
    TargetId target = TargetId::None; ///< of a placed task
    std::uint32_t considered = 0; ///< targets that were weighed at the last decision
    std::uint32_t ahead = 0; ///< tasks of the same team and class that wait; of a waiting task
    Instant at{}; ///< when it was last decided about
    std::string text; ///< the same in words for an operator
};

} // namespace guavavalve
