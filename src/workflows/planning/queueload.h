#pragma once

#include <cstdint>

namespace guavavalve::workflows {

/// What a plan found of one queue. Work is processor time by the callers' estimates, in
/// milli-core-milliseconds.
struct QueueLoad
{
    double startedWork = 0.0; ///< of the tasks that the plan placed
    /// Of the ready tasks that were not placed and can still meet their objective; without those
    /// whose account is at its limit, or whose targets are in doubt.
    double waitingWork = 0.0;
    std::int64_t waitingMilliCores = 0; ///< needed by these tasks
    bool isShortOfRoom = false; ///< some of these tasks wait for room
    bool isShortOfQueriers = false; ///< some wait for an instance that can query for them
};

} // namespace guavavalve::workflows
