#pragma once

#include "workflows/model/runend.h"

namespace guavavalve::workflows {

/// A run whose start order a later incarnation of its target may have carried out, or may still
/// carry out. Its task must not be started again before that is settled.
struct UnsettledRun
{
    IncarnationId placedOn = IncarnationId::None;
    RunEnd ifAbsent; ///< its end if no later incarnation has started it
};

} // namespace guavavalve::workflows
