#include "workflows/progressmonitor.h"

#include <algorithm>
#include <utility>

namespace guavavalve::workflows {

namespace {

/// What a run does now is measured over this long: one that goes on from a checkpoint stands still
/// for up to 0.6 s first, and progress is listed in whole percent.
constexpr Milliseconds longSpan{800};
/// And its best over this long, so that a run of a second has one.
constexpr Milliseconds shortSpan{300};
/// Longer tasks may do less than one percent in a long span, by estimates three times too low.
constexpr std::uint32_t longestWatchedMs = 20000;
/// A run at less than this part of its best crawls: slowed targets are four times as slow and more.
constexpr double crawlingPart = 0.35;
/// Crawling runs by which a target is judged. One that stands still is enough.
constexpr std::ptrdiff_t fewestCrawling = 2;
/// How long targets stand still, by the users' figures: 3 to 7 s, of which one is over when it
/// is seen.
constexpr double usualStallMs = 4000.0;
/// A run is moved only if it would be over this many times as soon elsewhere: what it is compared
/// with are guesses.
constexpr double moveGain = 1.5;
constexpr double wholePercent = 100.0;

double millisecondsBetween(Instant from, Instant to)
{
    return static_cast<double>(std::chrono::duration_cast<Milliseconds>(to - from).count());
}

} // namespace

bool ProgressMonitor::Seen::crawls() const
{
    return this->rate && *this->rate < crawlingPart * this->bestRate;
}

double ProgressMonitor::Seen::wholeMs() const
{
    return this->bestRate > 0.0 ? wholePercent / this->bestRate : this->estimatedMs;
}

void ProgressMonitor::listed(const std::vector<RunningTask> &listed,
                             const std::vector<ExpectedRun> &expected, Instant now)
{
    std::map<TaskAddress, Seen> still;
    for (const ExpectedRun &run : expected) {
        const auto row =
            std::find_if(listed.begin(), listed.end(), [&](const RunningTask &running) {
                return running.task == run.task && running.run == run.run;
            });
        const bool isWatched =
            run.isAlone && run.estimatedMs != 0 && run.estimatedMs <= longestWatchedMs;
        if (!isWatched || row == listed.end() || !row->percent)
            continue;
        Seen seen;
        const auto before = this->runs.find(run.task);
        if (before != this->runs.end() && before->second.run == run.run) {
            seen = std::move(before->second);
        } else {
            seen.run = run.run;
            seen.estimatedMs = run.estimatedMs;
            seen.shortSpan = {now, *row->percent};
            seen.longSpan = seen.shortSpan;
        }
        this->measure(seen, *row, now);
        still[run.task] = std::move(seen);
    }
    this->runs = std::move(still);
}

void ProgressMonitor::measure(Seen &seen, const RunningTask &row, Instant now) const
{
    seen.percent = *row.percent;
    if (row.checkpoint != seen.checkpoint) {
        seen.checkpoint = row.checkpoint;
        seen.savedPercent = seen.percent;
    }
    const auto rateOver = [&](const Span &span) {
        return (seen.percent - span.percent) / millisecondsBetween(span.since, now);
    };
    if (now >= seen.longSpan.since + longSpan) {
        seen.rate = rateOver(seen.longSpan);
        seen.longSpan = {now, seen.percent};
    }
    if (now >= seen.shortSpan.since + shortSpan) {
        seen.bestRate = std::max(seen.bestRate, rateOver(seen.shortSpan));
        seen.shortSpan = {now, seen.percent};
    }
}

bool ProgressMonitor::isStalled() const
{
    const auto count = [this](const auto &matches) {
        return std::count_if(this->runs.begin(), this->runs.end(),
                             [&](const auto &run) { return matches(run.second); });
    };
    const auto still = count([](const Seen &seen) { return seen.standsStill(); });
    const auto slow = count([](const Seen &seen) { return seen.standsStill() || seen.crawls(); });
    const auto measured = count([](const Seen &seen) { return seen.rate.has_value(); });
    return slow == measured && (still > 0 || slow >= fewestCrawling);
}

std::vector<TaskAddress> ProgressMonitor::runsWorthMoving(Milliseconds stopLimit) const
{
    std::vector<TaskAddress> found;
    if (!this->isStalled())
        return found;
    for (const auto &[task, seen] : this->runs) {
        if (this->isBetterElsewhere(seen, stopLimit))
            found.push_back(task);
    }
    return found;
}

bool ProgressMonitor::isBetterElsewhere(const Seen &seen, Milliseconds stopLimit) const
{
    const double leftMs = (1.0 - seen.percent / wholePercent) * seen.wholeMs();
    double here = usualStallMs + leftMs;
    if (seen.rate && *seen.rate > 0.0)
        here = std::min(here, (wholePercent - seen.percent) / *seen.rate);
    const double elsewhere = static_cast<double>(stopLimit.count())
        + (1.0 - seen.savedPercent / wholePercent) * seen.wholeMs();
    return here > moveGain * elsewhere;
}

} // namespace guavavalve::workflows
