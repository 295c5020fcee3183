#pragma once

#include "core/clock.h"

#include <cstdint>

namespace guavavalve {

/// What operators set for one class of work.
struct ClassPolicy
{
    /// May be checkpointed or stopped to make room.
    bool preemptible = false;
    /// Part of the cell's busiest resource that the class may hold while other classes wait.
    double maxShare = 1.0;
    /// Tasks that may wait, per team; more are refused.
    std::uint32_t maxWaiting = 200000;
    /// How long its head may wait for room before room is made for it; zero: never made.
    Milliseconds preemptionDelay{0};
};

} // namespace guavavalve
