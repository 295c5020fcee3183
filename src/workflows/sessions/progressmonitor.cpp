#include "workflows/sessions/progressmonitor.h"

#include <algorithm>
#include <utility>

namespace guavavalve::workflows {

namespace {

/// Interval over which a run's current rate is measured: a run that resumes from a checkpoint makes
/// no progress for up to 0.6 s, and progress is listed in whole percent.
constexpr Milliseconds longSpan{800};
/// Interval over which a run's best rate is measured, short enough for a run of one second.
constexpr Milliseconds shortSpan{300};
/// Longer tasks are not monitored: with an estimate three times too low, they may advance by less
/// than one percent in a long span.
constexpr std::uint32_t maxMonitoredMs = 20000;
/// A run below this fraction of its best rate is slow: degraded targets are at least four times
/// slower.
constexpr double slowRateFraction = 0.35;
/// Slow runs needed to judge a target. A single stuck run is enough.
constexpr std::ptrdiff_t minSlowRuns = 2;
/// Expected remaining duration of a stall when it is detected. In the users' deployments targets
/// stall for 3 to 7 s, one second of which has passed by then.
constexpr double remainingStallMs = 4000.0;
/// A run is moved only if it would finish this many times sooner elsewhere, since both times are
/// rough estimates.
constexpr double minMoveGain = 1.5;
constexpr double fullPercent = 100.0;

double millisecondsBetween(Instant from, Instant to)
{
    return static_cast<double>(std::chrono::duration_cast<Milliseconds>(to - from).count());
}

} // namespace

bool ProgressMonitor::ObservedRun::isSlow() const
{
    return this->rate && *this->rate < slowRateFraction * this->bestRate;
}

double ProgressMonitor::ObservedRun::fullDurationMs() const
{
    return this->bestRate > 0.0 ? fullPercent / this->bestRate : this->estimatedMs;
}

void ProgressMonitor::listed(const std::vector<RunningTask> &listed,
                             const std::vector<ExpectedRun> &expected, Instant now)
{
    std::map<TaskAddress, ObservedRun> current;
    for (const ExpectedRun &run : expected) {
        const auto row =
            std::find_if(listed.begin(), listed.end(), [&](const RunningTask &running) {
                return running.task == run.task && running.run == run.run;
            });
        const bool isMonitored =
            run.isIndependent && run.estimatedMs != 0 && run.estimatedMs <= maxMonitoredMs;
        if (!isMonitored || row == listed.end() || !row->percent)
            continue;
        ObservedRun observed;
        const auto before = this->runs.find(run.task);
        if (before != this->runs.end() && before->second.run == run.run) {
            observed = std::move(before->second);
        } else {
            observed.run = run.run;
            observed.estimatedMs = run.estimatedMs;
            observed.shortSpan = {now, *row->percent};
            observed.longSpan = observed.shortSpan;
        }
        this->measure(observed, *row, now);
        current[run.task] = std::move(observed);
    }
    this->runs = std::move(current);
}

void ProgressMonitor::measure(ObservedRun &observed, const RunningTask &row, Instant now) const
{
    observed.percent = *row.percent;
    if (row.checkpoint != observed.checkpoint) {
        observed.checkpoint = row.checkpoint;
        observed.checkpointPercent = observed.percent;
    }
    const auto rateOver = [&](const Span &span) {
        return (observed.percent - span.percent) / millisecondsBetween(span.since, now);
    };
    if (now >= observed.longSpan.since + longSpan) {
        observed.rate = rateOver(observed.longSpan);
        observed.longSpan = {now, observed.percent};
    }
    if (now >= observed.shortSpan.since + shortSpan) {
        observed.bestRate = std::max(observed.bestRate, rateOver(observed.shortSpan));
        observed.shortSpan = {now, observed.percent};
    }
}

bool ProgressMonitor::isStalled() const
{
    const auto count = [this](const auto &matches) {
        return std::count_if(this->runs.begin(), this->runs.end(),
                             [&](const auto &run) { return matches(run.second); });
    };
    const auto stuck = count([](const ObservedRun &observed) { return observed.isStuck(); });
    const auto slow =
        count([](const ObservedRun &observed) { return observed.isStuck() || observed.isSlow(); });
    const auto measured =
        count([](const ObservedRun &observed) { return observed.rate.has_value(); });
    return slow == measured && (stuck > 0 || slow >= minSlowRuns);
}

std::vector<TaskAddress> ProgressMonitor::runsWorthMoving(Milliseconds stopLimit) const
{
    std::vector<TaskAddress> found;
    if (!this->isStalled())
        return found;
    for (const auto &[task, observed] : this->runs) {
        if (this->isWorthMoving(observed, stopLimit))
            found.push_back(task);
    }
    return found;
}

bool ProgressMonitor::isWorthMoving(const ObservedRun &observed, Milliseconds stopLimit) const
{
    const double leftMs = (1.0 - observed.percent / fullPercent) * observed.fullDurationMs();
    double hereMs = remainingStallMs + leftMs;
    if (observed.rate && *observed.rate > 0.0)
        hereMs = std::min(hereMs, (fullPercent - observed.percent) / *observed.rate);
    const double elsewhereMs = static_cast<double>(stopLimit.count())
        + (1.0 - observed.checkpointPercent / fullPercent) * observed.fullDurationMs();
    return hereMs > minMoveGain * elsewhereMs;
}

} // namespace guavavalve::workflows
