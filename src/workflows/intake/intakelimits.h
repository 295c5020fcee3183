#pragma once

#include "core/clock.h"

#include <cstddef>

namespace guavavalve::workflows {

struct IntakeLimits
{
    /// No instance forwards a request that it received longer ago: it keeps callers waiting for 3 s
    /// at most. The rest is for clocks that run at different speeds, and for the last hop.
    Milliseconds attemptLifetime{3500};
    /// Bound on the unfinished workflows in the store: 10 kB each, in memory, in the snapshot being
    /// written and in the log, take 300 MB at most.
    std::size_t maxLiveWorkflows = 10000;
    /// Bound on the refused requests that are remembered, at about 150 B each: 1,000 a second for
    /// as long as the longest Retry-After and an attempt may live.
    std::size_t maxRefusedRequests = 10000;
    /// Shorter than a change of leader takes; a Retry-After is in whole seconds.
    Milliseconds minRetryAfter{1000};
    Milliseconds maxRetryAfter{5000}; ///< overload rarely lasts longer
};

} // namespace guavavalve::workflows
