#pragma once

#include "core/clock.h"
#include "workflows/model/runend.h"

namespace guavavalve::workflows {

/// A run whose start order a later incarnation of its target may have carried out, or may still
/// carry out. Its task must not be started again before that is settled.
struct UnsettledRun
{
    IncarnationId placedOn = IncarnationId::None;
    RunEnd ifAbsent; ///< its end if no later incarnation has started it
    Instant giveUpAt{}; ///< by then no later incarnation can run it any more
};

} // namespace guavavalve::workflows
