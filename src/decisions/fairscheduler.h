#pragma once

#include "decisions/scheduler.h"

#include <memory>

namespace guavavalve {

/// The scheduler used in production. Its rules:
/// - Prompt work is placed first, with headroom that follows its arrival rate.
/// - Teams share by weighted dominant resource fairness (Ghodsi et al., 2011), with exact limits.
/// - Targets are chosen by best fit.
/// - Gangs are placed all at once, with reservations and backfill.
/// - Preemption throttles, then checkpoints, then stops tasks.
/// - Failing targets are quarantined.
/// - Declared sizes are corrected from measured usage.
///
/// See docs/design/decisions.md.
///
/// Cost: submit(), cancel(), taskEnded() and usageReported() are constant apart from keeping the
/// teams ordered (logarithmic in their number). The cost of a placement depends neither on the
/// length of the queue nor on the size of the fleet.
class FairScheduler : public Scheduler
{
public:
    FairScheduler();
    ~FairScheduler() override;

    void applyPolicy(const Policy &policy, Instant now) override;
    void targetChanged(const TargetInfo &target, Instant now) override;
    void targetLost(TargetId target, Instant now) override;
    Result<void> submit(const TaskRequest &task, Instant now) override;
    void restorePlaced(const TaskRequest &task, const Resources &charge, TargetId target,
                       Instant now) override;
    void taskEnded(TaskId task, AttemptOutcome end, Instant now) override;
    void requeue(TaskId task, AttemptOutcome end, Instant now) override;
    void placementRejected(TaskId task, Instant now) override;
    bool cancel(TaskId task, Instant now) override;
    void usageReported(TaskId task, const Resources &used, Instant at) override;
    void decide(Instant now, std::vector<Decision> &out) override;
    Instant nextWakeup() const override;
    Explanation explain(TaskId task) const override;
    Statistics statistics() const override;

private:
    struct Private;

    std::unique_ptr<Private> d;
};

} // namespace guavavalve
