#include "workflows/progresswatch.h"

#include <algorithm>
#include <set>
#include <utility>

namespace guavavalve::workflows {

namespace {

/// A speed is measured over at least this long: a run that goes on from a checkpoint stands still
/// for up to 0.6 s first, and progress is listed in whole percent.
constexpr Milliseconds shortestSpan{800};
/// A target below this speed crawls. Sound ones lie between 0.75 and 1.5 by the users' figures, and
/// slowed ones are four times as slow and more.
constexpr double crawlingSpeed = 0.35;
/// Below this it stands still.
constexpr double stillSpeed = 0.05;
/// Crawling runs by which a target is judged; one may have a wrong estimate.
constexpr std::size_t fewestCrawling = 2;
/// How long targets stand still, by the users' figures: 3 to 7 s, of which one is over when it
/// is seen.
constexpr double usualStallMs = 4000.0;
/// A run is moved only if that is likely to gain this many times what it costs.
constexpr double moveGain = 2.0;
constexpr double wholePercent = 100.0;

} // namespace

void ProgressWatch::listed(const std::vector<RunningTask> &listed,
                           const std::vector<ExpectedRun> &expected, Instant now)
{
    std::map<TaskAddress, Seen> still;
    for (const ExpectedRun &run : expected) {
        const auto row =
            std::find_if(listed.begin(), listed.end(), [&](const RunningTask &running) {
                return running.task == run.task && running.run == run.run;
            });
        if (!run.isAlone || run.estimatedMs == 0 || row == listed.end() || !row->percent)
            continue;
        const auto before = this->runs.find(run.task);
        Seen seen;
        if (before != this->runs.end() && before->second.run == run.run) {
            seen = std::move(before->second);
        } else {
            seen.run = run.run;
            seen.estimatedMs = run.estimatedMs;
            seen.spanSince = now;
            seen.spanPercent = *row->percent;
        }
        seen.percent = *row->percent;
        if (row->checkpoint != seen.checkpoint) {
            seen.checkpoint = row->checkpoint;
            seen.savedPercent = seen.percent;
        }
        if (now >= seen.spanSince + shortestSpan) {
            const auto spanMs = std::chrono::duration_cast<Milliseconds>(now - seen.spanSince);
            const double workMs =
                (seen.percent - seen.spanPercent) * (seen.estimatedMs / wholePercent);
            seen.speed = workMs / static_cast<double>(spanMs.count());
            seen.spanSince = now;
            seen.spanPercent = seen.percent;
        }
        still[run.task] = std::move(seen);
    }
    this->runs = std::move(still);
}

std::optional<double> ProgressWatch::speed() const
{
    std::vector<double> speeds;
    for (const auto &[task, seen] : this->runs) {
        if (seen.speed)
            speeds.push_back(*seen.speed);
    }
    if (speeds.empty())
        return std::nullopt;
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    return *middle;
}

bool ProgressWatch::isStalled() const
{
    const auto now = this->speed();
    if (!now || *now >= crawlingSpeed)
        return false;
    const auto measured = std::count_if(this->runs.begin(), this->runs.end(),
                                        [](const auto &run) { return run.second.speed; });
    return *now < stillSpeed || static_cast<std::size_t>(measured) >= fewestCrawling;
}

std::vector<TaskAddress> ProgressWatch::betterElsewhere(Milliseconds stopLimit) const
{
    std::vector<TaskAddress> found;
    if (!this->isStalled())
        return found;
    const double speedHere = std::max(stillSpeed, *this->speed());
    for (const auto &[task, seen] : this->runs) {
        const double perPercent = seen.estimatedMs / wholePercent;
        const double left = (wholePercent - seen.percent) * perPercent;
        const double here = std::min(left / speedHere, usualStallMs + left);
        const double elsewhere = static_cast<double>(stopLimit.count())
            + (wholePercent - seen.savedPercent) * perPercent;
        if (here > moveGain * elsewhere)
            found.push_back(task);
    }
    return found;
}

} // namespace guavavalve::workflows
