#pragma once

#include "core/clock.h"

namespace guavavalve {

/// When a target that fails what it starts is kept from getting more.
struct QuarantinePolicy
{
    double maxFleetFraction = 0.1; ///< never more of the targets than this at once
    Milliseconds firstProbeDelay{5000}; ///< wait before the first probe; doubles with each failure
    Milliseconds maxProbeDelay{300000}; ///< the longest wait between probes
};

} // namespace guavavalve
