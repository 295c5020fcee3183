#pragma once

#include "controller/nameinterner.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/ids.h"

#include <cstdint>
#include <vector>

namespace guavavalve {

class ClusterState;
class Scheduler;
struct JobRecord;
struct Policy;
struct TargetInfo;
struct TargetRecord;
struct TaskRequest;

/// The same moment on two clocks: the process's monotonic clock, and the cell time in milliseconds
/// that the replicated state uses for deadlines and reports.
struct TimePair
{
    Instant now;
    std::int64_t cellMs = 0;

    /// The monotonic deadline for a deadline in cell time; zero means no deadline.
    Instant deadline(std::int64_t cellDeadlineMs) const
    {
        if (cellDeadlineMs == 0)
            return Instant::max();
        return this->now + Milliseconds(cellDeadlineMs - this->cellMs);
    }
};

/// Converts the replicated state into the scheduler's input.
class SchedulerFeed
{
public:
    Policy policy(const ClusterState &state) const;
    TargetInfo targetInfo(const TargetRecord &target);
    TaskRequest taskRequest(const JobRecord &job, TaskId task, const TimePair &time) const;

    /// A waiting task that the scheduler refused.
    struct Refused
    {
        JobId job = JobId::None;
        TaskId task = TaskId::None;
        Error error;
    };

    /// Fills an empty \a scheduler from the state, for a new controller. Returns the tasks that the
    /// scheduler refused: they belong to accepted jobs and must not be lost.
    /// Cost: linear in the targets and in the tasks that have not ended.
    std::vector<Refused> rebuild(Scheduler &scheduler, const ClusterState &state,
                                 const TimePair &time);

private:
    NameInterner domains;
    NameInterner racks;
};

} // namespace guavavalve
