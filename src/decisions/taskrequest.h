#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/resources.h"
#include "core/workclass.h"

#include <cstdint>

namespace guavavalve {

/// One task that waits for a place.
struct TaskRequest
{
    TaskId id = TaskId::None;
    JobId job = JobId::None;
    /// A gang waits until this many of its job have been submitted or restored. When a new
    /// controller rebuilds, it gives the number of the job's tasks that are not over.
    std::uint32_t jobTasks = 1;
    TeamId team = TeamId::None;
    WorkClass workClass = WorkClass::Batch;
    Resources need; ///< as declared
    Instant startBy = Instant::max(); ///< refused when it has not started by then
    Microseconds declaredRunTime{0}; ///< zero: not declared
    bool repeatable = true; ///< false: never used as a probe, never stopped to make room
};

} // namespace guavavalve
