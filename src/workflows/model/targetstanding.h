#pragma once

#include "core/clock.h"

namespace guavavalve::workflows {

/// The conditions that decide whether a target may receive new work.
struct TargetStanding
{
    bool reportsReady = false; ///< by its newest heartbeat; false: it drains
    /// It has listed its runs in this term, and since its leases last expired.
    bool hasRunList = false;
    bool isFenced = false; ///< it has accepted orders of a later controller
    unsigned failures = 0; ///< consecutive polls without an answer
    /// Runs that it lists but that this controller did not place; they are being stopped.
    std::size_t foreignRuns = 0;
    /// Runs of earlier incarnations that it may have started; they are being stopped.
    std::size_t unsettledRuns = 0;
    Milliseconds answerAge{}; ///< time since its last answer
};

} // namespace guavavalve::workflows
