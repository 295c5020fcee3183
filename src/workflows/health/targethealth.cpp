#include "workflows/health/targethealth.h"

#include <algorithm>
#include <cmath>

namespace guavavalve::workflows {

namespace {

/// Consecutive failures count against a target if chance alone would cause them on fewer than one
/// target in thirty. With the 5% of runs that fail through their own fault this takes two failures,
/// and three where many workflows can never succeed.
constexpr double maxChance = 1.0 / 30.0;
/// Fraction of tasks that fail through their own fault, assumed until more has been observed.
/// Source: workload figures of both users' deployments.
constexpr double defaultFailureRate = 0.05;
/// Upper bound of the rate: above it, failing targets could not be told from failing
/// workflows.
constexpr double maxFailureRate = 0.5;
/// Fewer consecutive failures never count against a target.
constexpr unsigned minFailures = 2;
/// Length of the first suspension; later ones are twice as long. Targets that fail everything do so
/// for some seconds, and a step that may run nowhere else waits no longer than 3 s in all.
constexpr Milliseconds firstSuspension{1000};
constexpr unsigned maxDoublings = 1;
/// How long an idle target on probation waits for a single task with which to regain trust.
constexpr Milliseconds maxProbation{800};

} // namespace

/// Number of consecutive failures at which a target is suspended.
unsigned TargetHealth::suspensionThreshold() const
{
    std::size_t failing = 0;
    for (const auto &[incarnation, record] : this->records)
        failing += record.consecutiveFailures > 0 ? 1 : 0;
    const double observed = this->records.empty()
        ? 0.0
        : static_cast<double>(failing) / static_cast<double>(this->records.size());
    const double rate = std::clamp(observed, defaultFailureRate, maxFailureRate);
    const auto threshold = static_cast<unsigned>(std::ceil(std::log(maxChance) / std::log(rate)));
    return std::max(minFailures, threshold);
}

void TargetHealth::ended(IncarnationId incarnation, WorkflowId workflow, RunOutcome outcome,
                         Instant now)
{
    if (outcome == RunOutcome::Succeeded) {
        this->records[incarnation] = {};
        return;
    }
    if (outcome != RunOutcome::Failed && outcome != RunOutcome::Refused)
        return;
    Record &record = this->records[incarnation];
    if (record.consecutiveFailures > 0 && record.lastFailed == workflow)
        return;
    ++record.consecutiveFailures;
    record.lastFailed = workflow;
    const bool failsAgain = record.suspensions > 0 && now >= record.suspendedUntil;
    if (!failsAgain
        && (record.suspensions > 0 || record.consecutiveFailures < this->suspensionThreshold()))
        return;
    TargetHealth::suspend(record, now);
}

/// Begins a suspension, or extends the current one.
void TargetHealth::suspend(Record &record, Instant now)
{
    record.suspendedUntil =
        now + firstSuspension * (1U << std::min(record.suspensions, maxDoublings));
    ++record.suspensions;
}

void TargetHealth::stalled(IncarnationId incarnation, Instant now)
{
    Record &record = this->records[incarnation];
    if (now >= record.suspendedUntil)
        TargetHealth::suspend(record, now);
}

void TargetHealth::forget(IncarnationId incarnation)
{
    this->records.erase(incarnation);
}

void TargetHealth::clear()
{
    this->records.clear();
}

TargetTrust TargetHealth::trust(IncarnationId incarnation, Instant now) const
{
    const auto found = this->records.find(incarnation);
    if (found == this->records.end() || found->second.suspensions == 0)
        return TargetTrust::Trusted;
    return now < found->second.suspendedUntil ? TargetTrust::Suspended : TargetTrust::Probation;
}

bool TargetHealth::hasProbationExpired(IncarnationId incarnation, Instant now) const
{
    const auto found = this->records.find(incarnation);
    return found == this->records.end() || now > found->second.suspendedUntil + maxProbation;
}

} // namespace guavavalve::workflows
