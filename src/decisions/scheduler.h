#pragma once

#include "core/attemptoutcome.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/resources.h"
#include "decisions/decision.h"
#include "decisions/explanation.h"
#include "decisions/policy.h"
#include "decisions/statistics.h"
#include "decisions/targetinfo.h"
#include "decisions/taskrequest.h"

#include <vector>

namespace guavavalve {

/// Decides where tasks run. Deterministic: the same calls with the same times give the same
/// decisions; it uses no clock, thread or I/O. Times must not decrease. Not thread safe unless a
/// subclass says so.
///
/// A task waits after submit(), is placed by decide(), and then ends (taskEnded()) or waits again
/// (requeue(), placementRejected()). A placed task occupies its target and counts against its
/// team's limit until one of these calls.
class Scheduler
{
public:
    Scheduler() = default;
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;
    virtual ~Scheduler() = default;

    /// Replaces the whole policy by \a policy. Limits may be lowered below what is placed.
    virtual void applyPolicy(const Policy &policy, Instant now) = 0;

    /// A target is new, has changed or is departing. A new incarnation starts without the failures
    /// of the old one; tasks placed on the old one stay counted until they are reported as ended.
    virtual void targetChanged(const TargetInfo &target, Instant now) = 0;

    /// The target takes no new tasks. Those placed on it stay counted until reported as ended.
    virtual void targetLost(TargetId target, Instant now) = 0;

    /// Queues a task. Errors: NotFound (no such team), Conflict (the ID is in use),
    /// InvalidArgument, NeverFits, LimitExceeded, DeadlineExceeded; the task is then not run.
    virtual Result<void> submit(const TaskRequest &task, Instant now) = 0;

    /// Restores a placement from the replicated state of a new controller; \a charge is that of
    /// the Decision. Called before the first decide(); the target need not be known yet.
    virtual void restorePlaced(const TaskRequest &task, const Resources &charge, TargetId target,
                               Instant now) = 0;

    /// A task has ended for good; a waiting one is removed. Unknown tasks are ignored.
    virtual void taskEnded(TaskId task, AttemptOutcome end, Instant now) = 0;

    /// The attempt of a placed task has ended and the task waits again, at the front of its queue.
    /// If it has been cancelled in the meantime it is removed.
    virtual void requeue(TaskId task, AttemptOutcome end, Instant now) = 0;

    /// The placement was not committed: undoes it without recording a failure of the target. For a
    /// gang one call undoes all placements of its tasks that were made by the same decide().
    virtual void placementRejected(TaskId task, Instant now) = 0;

    /// Returns true if the task was waiting and has been removed. Returns false if it is placed,
    /// where it stays counted until taskEnded() or requeue(), or unknown. Cost: constant.
    virtual bool cancel(TaskId task, Instant now) = 0;

    /// The measured resource usage of a placed task at time \a at, which may be well in the past.
    virtual void usageReported(TaskId task, const Resources &used, Instant at) = 0;

    /// Makes the decisions that are possible now and appends them to \a out. The scheduler counts
    /// their placements at once.
    virtual void decide(Instant now, std::vector<Decision> &out) = 0;

    /// When decide() must be called again even without an event; Instant::max() if never.
    virtual Instant nextWakeup() const = 0;

    virtual Explanation explain(TaskId task) const = 0;
    virtual Statistics statistics() const = 0;
};

} // namespace guavavalve
