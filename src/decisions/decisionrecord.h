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
    /// Number of targets that were compared; for a gang, the number of its tasks.
    std::uint32_t considered = 0;
    DecisionKind kind = DecisionKind::Place;
    Reason reason = Reason::None;
};

} // namespace guavavalve::internal
