#pragma once

#include "core/clock.h"

#include <cstdint>

namespace guavavalve {

/// Operator settings for one class of work.
struct ClassPolicy
{
    /// Whether its tasks may be checkpointed or stopped to free capacity.
    bool preemptible = false;
    /// Fraction of the cell's busiest resource that the class may hold while other classes wait.
    double maxShare = 1.0;
    /// Maximum number of waiting tasks per team; further ones are refused.
    std::uint32_t maxWaiting = 200000;
    /// How long the head of a queue waits before other work is preempted for it; zero: never.
    Milliseconds preemptionDelay{0};
};

} // namespace guavavalve
