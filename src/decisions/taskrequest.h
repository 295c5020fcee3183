#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/resources.h"
#include "core/workclass.h"

#include <cstdint>

namespace guavavalve {

/// A task as submitted to the scheduler.
struct TaskRequest
{
    TaskId id = TaskId::None;
    JobId job = JobId::None;
    /// A gang waits until this many tasks of its job have been submitted or restored. A new
    /// controller that rebuilds its state gives the number of the job's tasks that have not ended.
    std::uint32_t jobTasks = 1;
    TeamId team = TeamId::None;
    WorkClass workClass = WorkClass::Batch;
    Resources need; ///< as declared
    Instant startBy = Instant::max(); ///< refused if it has not started by then
    Microseconds declaredRunTime{0}; ///< zero: not declared
    bool repeatable = true; ///< false: never used as a probe, never stopped to free capacity
};

} // namespace guavavalve
