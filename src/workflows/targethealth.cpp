#include "workflows/targethealth.h"

#include <algorithm>
#include <cmath>

namespace guavavalve::workflows {

namespace {

/// A row of failures is held against its target if chance gives it to fewer than one in thirty.
/// With the 5% of runs that fail by their own fault that is two, and three where many workflows can
/// never be done.
constexpr double chance = 1.0 / 30.0;
/// Tasks that fail by their own fault, where little has been seen yet. Source: both users' figures.
constexpr double usualRate = 0.05;
/// The rate is not believed above this: then nothing could be told apart.
constexpr double highestRate = 0.5;
/// Runs in a row below which nothing is held against a target.
constexpr unsigned fewestFailures = 2;
/// The first suspension; the further ones are twice as long. Targets that fail everything do so for
/// some seconds; and a step that may run nowhere else waits no longer than 3 s in all.
constexpr Milliseconds firstSuspension{1000};
constexpr unsigned mostDoublings = 1;
/// For a task to come by which an idle target proves itself.
constexpr Milliseconds longestProbation{800};

} // namespace

/// Failures in a row that may be chance.
unsigned TargetHealth::tolerated() const
{
    std::size_t failing = 0;
    for (const auto &[incarnation, record] : this->records)
        failing += record.failuresInARow > 0 ? 1 : 0;
    const double seen = this->records.empty()
        ? 0.0
        : static_cast<double>(failing) / static_cast<double>(this->records.size());
    const double rate = std::clamp(seen, usualRate, highestRate);
    const auto row = static_cast<unsigned>(std::ceil(std::log(chance) / std::log(rate)));
    return std::max(fewestFailures, row);
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
    if (record.failuresInARow > 0 && record.lastFailed == workflow)
        return;
    ++record.failuresInARow;
    record.lastFailed = workflow;
    const bool failsAgain = record.suspensions > 0 && now >= record.suspendedUntil;
    if (!failsAgain && (record.suspensions > 0 || record.failuresInARow < this->tolerated()))
        return;
    TargetHealth::suspend(record, now);
}

/// Begins a suspension, or draws the one under way out.
void TargetHealth::suspend(Record &record, Instant now)
{
    record.suspendedUntil =
        now + firstSuspension * (1U << std::min(record.suspensions, mostDoublings));
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
    return found == this->records.end() || now > found->second.suspendedUntil + longestProbation;
}

} // namespace guavavalve::workflows
