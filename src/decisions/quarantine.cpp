#include "decisions/quarantine.h"

#include <algorithm>
#include <cmath>

namespace guavavalve::internal {

namespace {

/// Probability of a failure on a target that is considered to fail everything.
constexpr double badTargetFailure = 0.95;
/// Probability that a healthy target does not start a task, which is independent of the work.
constexpr double healthyTargetRefusal = 0.01;
/// Evidence at which a target is quarantined: odds of e^6, or about 400 to 1.
constexpr double quarantineThreshold = 6.0;
constexpr double maxEvidence = 20.0;
/// Consecutive successful probes that end a quarantine.
constexpr std::uint8_t probesToRelease = 2;

} // namespace

Quarantine::Quarantine(Ledger &sharedLedger)
    : ledger(sharedLedger)
{}

double Quarantine::evidence(const TaskRecord &task, AttemptOutcome end) const
{
    if (end == AttemptOutcome::NeverStarted)
        return std::log(badTargetFailure / healthyTargetRefusal);
    const WorkProfile &profile = this->ledger.queues[task.queue].profile;
    const double chance = profile.failureChance();
    if (end == AttemptOutcome::Succeeded)
        return std::log((1.0 - badTargetFailure) / (1.0 - chance));
    // A failure counts against the target only to the extent that the same work succeeds elsewhere.
    // Otherwise one team's broken job would take every target out of service that it runs on.
    if (this->jobs.failsEverywhere(task.job))
        return 0.0;
    return profile.successConfidence() * std::max(0.0, std::log(badTargetFailure / chance));
}

void Quarantine::recordOutcome(const TaskRecord &task, AttemptOutcome end, Instant now)
{
    if (end == AttemptOutcome::Stopped || end == AttemptOutcome::Lost) {
        if (task.probe)
            this->probeInconclusive(task.target, now);
        return;
    }
    const bool failed = end != AttemptOutcome::Succeeded;
    TargetRecord &target = this->ledger.fleet[task.target];
    const double sum = static_cast<double>(target.suspicion) + this->evidence(task, end);
    if (end == AttemptOutcome::Failed)
        this->jobs.recordFailure(task.job, task.target);
    else if (!failed)
        this->jobs.recordSuccess(task.job);
    if (end != AttemptOutcome::NeverStarted) {
        this->ledger.queues[task.queue].profile.addOutcome(failed,
                                                           static_cast<double>(target.suspicion));
    }
    target.suspicion = static_cast<float>(std::clamp(sum, 0.0, maxEvidence));
    if (task.probe)
        this->probeEnded(task.target, failed, now);
    else if (!target.quarantined && target.known && target.suspicion >= quarantineThreshold)
        this->isolate(task.target, now);
}

void Quarantine::isolate(Index index, Instant now)
{
    // At most a configured fraction of the fleet is quarantined. When everything seems to fail, the
    // cause is more likely the work or the scheduler, and an empty fleet would run no work at all.
    const QuarantinePolicy &policy = this->ledger.policy.quarantine;
    const double maxQuarantined =
        policy.maxFleetFraction * this->ledger.fleet.nonDepartingTargets();
    if (static_cast<double>(this->members.size() + 1) > std::max(maxQuarantined, 1.0))
        return;
    TargetRecord &target = this->ledger.fleet[index];
    target.quarantined = true;
    target.probeWait = policy.firstProbeDelay;
    target.probeAt = now + target.probeWait;
    target.probeSuccesses = 0;
    target.probing = false;
    this->members.push_back(index);
    this->ledger.fleet.refresh(index);
}

void Quarantine::release(Index index)
{
    TargetRecord &target = this->ledger.fleet[index];
    this->members.erase(std::find(this->members.begin(), this->members.end(), index));
    target.quarantined = false;
    target.probing = false;
    target.suspicion = 0.0F;
    this->ledger.fleet.refresh(index);
    this->ledger.markFreed(index);
}

void Quarantine::clearRecord(Index index)
{
    TargetRecord &target = this->ledger.fleet[index];
    if (target.quarantined)
        this->release(index);
    target.suspicion = 0.0F;
}

std::vector<Index> Quarantine::dueForProbe(Instant now) const
{
    std::vector<Index> due;
    for (const Index index : this->members) {
        const TargetRecord &target = this->ledger.fleet[index];
        if (!target.probing && target.known && !target.info.departing && target.probeAt <= now)
            due.push_back(index);
    }
    return due;
}

Instant Quarantine::nextProbe() const
{
    Instant next = Instant::max();
    for (const Index index : this->members) {
        const TargetRecord &target = this->ledger.fleet[index];
        if (!target.probing && target.known && !target.info.departing)
            next = std::min(next, target.probeAt);
    }
    return next;
}

void Quarantine::probeStarted(Index target)
{
    this->ledger.fleet[target].probing = true;
}

void Quarantine::probeInconclusive(Index index, Instant now)
{
    TargetRecord &target = this->ledger.fleet[index];
    target.probing = false;
    target.probeAt = now + target.probeWait;
}

void Quarantine::probeEnded(Index index, bool failed, Instant now)
{
    TargetRecord &target = this->ledger.fleet[index];
    if (!target.quarantined)
        return;
    target.probing = false;
    if (!failed) {
        if (++target.probeSuccesses >= probesToRelease)
            this->release(index);
        else
            target.probeAt = now;
        return;
    }
    target.probeSuccesses = 0;
    target.probeWait = std::min(target.probeWait * 2, this->ledger.policy.quarantine.maxProbeDelay);
    target.probeAt = now + target.probeWait;
}

} // namespace guavavalve::internal
