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

/// Two readings of the time made together: the process's monotonic clock, and the cell time in
/// milliseconds that the replicated state uses for deadlines and reports.
struct TimePair
{
    Instant now;
    std::int64_t cellMs = 0;

    /// The monotonic deadline for a cell time; zero is no deadline.
    Instant deadline(std::int64_t cellDeadlineMs) const
    {
        if (cellDeadlineMs == 0)
            return Instant::max();
        return this->now + Milliseconds(cellDeadlineMs - this->cellMs);
    }
};

/// Tells a scheduler what the replicated state holds.
class SchedulerFeed
{
public:
    Policy policy(const ClusterState &state) const;
    TargetInfo targetInfo(const TargetRecord &target);
    TaskRequest taskRequest(const JobRecord &job, TaskId task, const TimePair &time) const;

    /// A waiting task that the scheduler would not take.
    struct Refused
    {
        JobId job = JobId::None;
        TaskId task = TaskId::None;
        Error error;
    };

    /// Brings an empty \a scheduler to where the state is, as a new controller does. What it
    /// would not take is returned: it was accepted, so it may not be forgotten.
    /// Cost: linear in targets and in tasks that are not over.
    std::vector<Refused> rebuild(Scheduler &scheduler, const ClusterState &state,
                                 const TimePair &time);

private:
    NameInterner domains;
    NameInterner racks;
};

} // namespace guavavalve
