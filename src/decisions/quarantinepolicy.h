#pragma once

#include "core/clock.h"

namespace guavavalve {

/// Limits the quarantine of targets that fail the work they start.
struct QuarantinePolicy
{
    double maxFleetFraction = 0.1; ///< largest fraction of the targets quarantined at once
    Milliseconds firstProbeDelay{5000}; ///< before the first probe; doubles with each failed probe
    Milliseconds maxProbeDelay{300000}; ///< upper bound of the delay between probes
};

} // namespace guavavalve
