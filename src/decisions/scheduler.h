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

/// Decides where tasks run. Pure: the same calls with the same times give the same decisions; no
/// clock, thread or I/O. Times must not go back. Not thread safe unless a subclass says so.
///
/// A task is waiting (submit), then placed (decide), then over (taskEnded) or waiting again
/// (requeue, placementRejected). Room and the team's limit stay taken until one of these is told.
class Scheduler
{
public:
    Scheduler() = default;
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;
    virtual ~Scheduler() = default;

    /// Puts \a policy in force, whole. Limits may be lowered below what is placed.
    virtual void applyPolicy(const Policy &policy, Instant now) = 0;

    /// A target is new, has changed, or departs. A new incarnation starts with a clean record;
    /// what was placed under the old one stays counted until it is told to be over.
    virtual void targetChanged(const TargetInfo &target, Instant now) = 0;

    /// The target takes nothing new. What was placed on it stays counted until told to be over.
    virtual void targetLost(TargetId target, Instant now) = 0;

    /// Takes a task into its queue, or says why not: NotFound (no such team), Conflict (identity
    /// in use), NeverFits, LimitExceeded, DeadlineExceeded. Not taken means not run.
    virtual Result<void> submit(const TaskRequest &task, Instant now) = 0;

    /// A new controller tells what its replicated state holds as placed: \a charge is that of
    /// the Decision. Told before the first decide(), and also where the target is unknown yet.
    virtual void restorePlaced(const TaskRequest &task, const Resources &charge, TargetId target,
                               Instant now) = 0;

    /// A placed task is over for good; a waiting one is forgotten. Unknown tasks are ignored.
    virtual void taskEnded(TaskId task, AttemptOutcome end, Instant now) = 0;

    /// A placed task's attempt is over and it waits again, before others of its queue. If it was
    /// cancelled meanwhile it is forgotten.
    virtual void requeue(TaskId task, AttemptOutcome end, Instant now) = 0;

    /// The decision to place was not committed: as if it had not been made, and nobody is to
    /// blame. For a gang one call undoes the placements of all its tasks of that decision.
    virtual void placementRejected(TaskId task, Instant now) = 0;

    /// Constant work. True: it was waiting and is forgotten. False: it is placed, and stays
    /// counted until taskEnded() or requeue(); or it is unknown.
    virtual bool cancel(TaskId task, Instant now) = 0;

    /// What a placed task was measured to use at \a at, which may lie well in the past.
    virtual void usageReported(TaskId task, const Resources &used, Instant at) = 0;

    /// Decides what can be decided now and appends it to \a out. Placements are in force inside
    /// the scheduler at once.
    virtual void decide(Instant now, std::vector<Decision> &out) = 0;

    /// When decide() has to be called again although nothing was told; Instant::max(): never.
    virtual Instant nextWakeup() const = 0;

    virtual Explanation explain(TaskId task) const = 0;
    virtual Statistics statistics() const = 0;
};

} // namespace guavavalve
