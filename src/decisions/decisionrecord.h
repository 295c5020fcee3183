#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "decisions/decision.h"
#include "decisions/reason.h"

#include <cstdint>

namespace guavavalve::internal {

/// One entry of the DecisionLog.
struct DecisionRecord
{
    TaskId task = TaskId::None;
    Instant at{};
    TargetId target = TargetId::None;
    std::uint32_t considered = 0; ///< number of candidate targets that were compared
    DecisionKind kind = DecisionKind::Place;
    Reason reason = Reason::None;
};

} // namespace guavavalve::internal
