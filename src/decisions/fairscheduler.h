#pragma once

#include "decisions/scheduler.h"

#include <memory>

namespace guavavalve {

/// The product's scheduler. Prompt work first, with headroom that follows its arrivals; teams by
/// dominant resource fairness (Ghodsi et al., 2011) against their weights, with exact limits;
/// best fit; gangs whole, with reservation and backfill; room made by throttle, checkpoint, then
/// stop; failing targets in quarantine; sizes corrected from usage. See docs/design/decisions.md.
///
/// Cost: submit, cancel, an end and a usage report are constant work but for the order of the
/// teams (logarithmic in their number). A placement grows with neither the queue nor the fleet.
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
    struct Parts;

    std::unique_ptr<Parts> parts;
};

} // namespace guavavalve
