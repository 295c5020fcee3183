#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace guavavalve::workflows {

/// What a plan found of one queue. Work is processor time by the callers' estimates, in
/// milli-core-milliseconds.
struct QueueLoad
{
    double startedWork = 0.0; ///< of the tasks that the plan placed, without gangs
    /// By client account, of the ready tasks that wait for room, or for an instance that can query
    /// the admission service, and that can still meet their objective. Without tasks whose query is
    /// under way at once, which takes its time in an idle cell too, and without gangs: that one
    /// waits says nothing of the room for single tasks.
    std::map<std::string, double> waitingWork;
    std::int64_t waitingMilliCores = 0; ///< needed by these tasks
    std::int64_t smallestTaskMilliCores = 0; ///< of these tasks; 0: there are none
    bool isShortOfQueries = false; ///< some of them wait for an instance that can query
};

} // namespace guavavalve::workflows
