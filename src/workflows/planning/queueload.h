#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace guavavalve::workflows {

/// What a plan found of one queue. Work is processor time by the callers' estimates, in
/// milli-core-milliseconds.
struct QueueLoad
{
    double startedWork = 0.0; ///< of the tasks that the plan placed
    /// By client account, of the ready tasks that wait for room or for the admission service, and
    /// that can still meet their objective.
    std::map<std::string, double> waitingWork;
    std::int64_t waitingMilliCores = 0; ///< needed by these tasks
    bool isShortOfQueries = false; ///< some of them wait for the admission service
};

} // namespace guavavalve::workflows
