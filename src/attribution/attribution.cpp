#include "attribution/attribution.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace guavavalve::attribution {

namespace {

/// The causes by the outcome's name in the log; a run that succeeded is not a delay.
constexpr EnumNames<DelayCause, 8> causesOfOutcomes{{
    {DelayCause::TargetFailed, "failed"},
    {DelayCause::TargetLost, "lost"},
    {DelayCause::TargetLost, "lapsed"},
    {DelayCause::GangBroken, "broken"},
    {DelayCause::GangBroken, "alone"},
    {DelayCause::TargetSilent, "never-started"},
    {DelayCause::TargetSilent, "refused"},
    {DelayCause::Moved, "stopped"},
}};

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream rest(text);
    for (std::string part; std::getline(rest, part, separator);)
        parts.push_back(part);
    return parts;
}

std::uint32_t parseNumber(const std::string &text)
{
    return static_cast<std::uint32_t>(std::strtoul(text.c_str(), nullptr, 10));
}

/// Splits "job.occurrence.step" into "job" and "occurrence.step".
std::pair<std::string, std::string> splitStep(const std::string &name)
{
    const std::size_t dot = name.find('.');
    if (dot == std::string::npos)
        return {name, {}};
    return {name.substr(0, dot), name.substr(dot + 1)};
}

std::int64_t overlap(const Span &a, const Span &b)
{
    return std::max<std::int64_t>(0, std::min(a.second, b.second) - std::max(a.first, b.first));
}

std::int64_t totalOverlap(const std::vector<Span> &spans, const Span &with)
{
    std::int64_t sum = 0;
    for (const Span &span : spans)
        sum += overlap(span, with);
    return sum;
}

JobFate fateOf(const std::string &state, std::int64_t tookMs, std::int64_t objectiveMs)
{
    if (state == "cancelled")
        return JobFate::Cancelled;
    if (state == "failed")
        return JobFate::Failed;
    if (state.empty())
        return JobFate::NeverDone;
    return tookMs > objectiveMs ? JobFate::Late : JobFate::InTime;
}

} // namespace

void Attribution::addEvent(const LogEvent &event)
{
    this->beginsAtMs = this->beginsAtMs == 0 ? event.atMs : std::min(this->beginsAtMs, event.atMs);
    this->endsAtMs = std::max(this->endsAtMs, event.atMs);
    if (event.name == "job-sent" && event.text("outcome") == "applied")
        this->addAcceptedJob(event);
    else if (event.name == "job-refused")
        this->addRefusedJob(event);
    else if (event.name == "placed")
        this->addPlacement(event);
    else if (event.name == "runs-over")
        this->addRunEnds(event);
    else if (event.name == "job-over")
        this->addJobEnd(event);
    else if (event.name == "loop-late")
        this->loopLags.emplace_back(event.atMs - event.number("lagMs"), event.atMs);
    if (event.name == "leads" || event.name == "plan" || event.name == "placed")
        this->recordLeadership(event);
}

void Attribution::addAcceptedJob(const LogEvent &event)
{
    JobSummary &summary = this->jobs[event.text("job")].summary;
    summary.job = event.text("job");
    summary.queue = event.text("queue");
    summary.account = event.text("account");
    summary.acceptedAtMs = event.atMs;
    summary.objectiveMs = event.number("objectiveMs");
}

void Attribution::addRefusedJob(const LogEvent &event)
{
    JobSummary summary;
    summary.job = event.text("path");
    summary.fate = JobFate::Refused;
    summary.acceptedAtMs = event.atMs;
    this->refusals.push_back(summary);
}

/// The field "lives" lists "index@incarnation" for each task, "waitedMs" lists
/// "cause:milliseconds".
void Attribution::addPlacement(const LogEvent &event)
{
    const auto [job, step] = splitStep(event.text("step"));
    Step &placed = this->jobs[job].steps[step];
    placed.estimatedMs = event.number("estimatedMs");
    const auto run = static_cast<std::uint32_t>(event.number("run"));
    for (const std::string &place : split(event.text("lives"), ','))
        placed.tasks[parseNumber(place)][run].placedAtMs = event.atMs;
    for (const std::string &wait : split(event.text("waitedMs"), ',')) {
        const std::size_t colon = wait.find(':');
        if (colon != std::string::npos)
            placed.waitedMs[wait.substr(0, colon)] = parseNumber(wait.substr(colon + 1));
    }
}

/// The field "runs" lists "job.occurrence.step.index#run=outcome".
void Attribution::addRunEnds(const LogEvent &event)
{
    for (const std::string &end : split(event.text("runs"), ',')) {
        const std::size_t hash = end.find('#');
        const std::size_t equals = end.find('=', hash);
        if (hash == std::string::npos || equals == std::string::npos)
            continue;
        const std::string task = end.substr(0, hash);
        const std::size_t dot = task.rfind('.');
        const auto [job, step] = splitStep(task.substr(0, dot));
        Run &run = this->jobs[job].steps[step].tasks[parseNumber(task.substr(dot + 1))]
                                                    [parseNumber(end.substr(hash + 1))];
        run.endedAtMs = event.atMs;
        run.outcome = end.substr(equals + 1);
    }
}

void Attribution::addJobEnd(const LogEvent &event)
{
    Job &job = this->jobs[event.text("job")];
    job.state = event.text("state");
    job.summary.tookMs = event.number("tookMs");
}

void Attribution::recordLeadership(const LogEvent &event)
{
    const auto known = this->newestLeadership.find(event.process);
    if (event.name == "leads" || known == this->newestLeadership.end()) {
        this->newestLeadership[event.process] = this->leaderships.size();
        this->leaderships.emplace_back(event.atMs, event.atMs);
        return;
    }
    this->leaderships[known->second].second = event.atMs;
}

std::vector<Span> Attribution::spansWithoutLeader() const
{
    // While it has work, a controller logs a plan at least once per second.
    constexpr std::int64_t maxDecisionGapMs = 1200;
    std::vector<Span> sorted = this->leaderships;
    std::sort(sorted.begin(), sorted.end());
    std::vector<Span> gaps;
    for (std::size_t i = 1; i < sorted.size(); ++i) {
        const Span gap{sorted[i - 1].second, sorted[i].first};
        if (gap.second - gap.first > 0 && gap.second - gap.first < this->endsAtMs)
            gaps.push_back(gap);
    }
    if (!sorted.empty() && this->endsAtMs - sorted.back().second > maxDecisionGapMs)
        gaps.emplace_back(sorted.back().second, this->endsAtMs);
    return gaps;
}

/// Adds the time that the step's runs lost to \a delays and returns the time that they took within
/// the caller's estimate. The tasks of a step run in parallel, so only the one that ended last
/// counts.
std::int64_t Attribution::addRuns(const Step &step, DelayTimes &delays) const
{
    const std::map<std::uint32_t, Run> *last = nullptr;
    for (const auto &[index, runs] : step.tasks) {
        if (last == nullptr || runs.rbegin()->second.endedAtMs > last->rbegin()->second.endedAtMs)
            last = &runs;
    }
    if (last == nullptr)
        return 0;
    std::int64_t workMs = 0;
    for (const auto &[number, run] : *last) {
        if (run.placedAtMs == 0)
            continue; // placed before the log began
        const std::int64_t endedAtMs = run.endedAtMs == 0 ? this->endsAtMs : run.endedAtMs;
        const std::int64_t tookMs = endedAtMs - run.placedAtMs;
        if (const auto cause = enumFromName(causesOfOutcomes, run.outcome)) {
            timeOf(delays, *cause) += tookMs;
            continue;
        }
        const std::int64_t withinEstimateMs =
            step.estimatedMs == 0 ? tookMs : std::min(tookMs, step.estimatedMs);
        timeOf(delays, DelayCause::SlowRun) += tookMs - withinEstimateMs;
        workMs += withinEstimateMs;
    }
    return workMs;
}

/// Summarizes \a job. Its steps wait one after the other, so their waiting times are added.
JobSummary Attribution::summarize(const Job &job, const std::vector<Span> &withoutLeader) const
{
    JobSummary summary = job.summary;
    if (job.state.empty())
        summary.tookMs = this->endsAtMs - summary.acceptedAtMs;
    summary.fate = fateOf(job.state, summary.tookMs, summary.objectiveMs);
    std::int64_t workMs = 0;
    for (const auto &[name, step] : job.steps) {
        for (const auto &[cause, ms] : step.waitedMs) {
            if (const auto known = enumFromName(delayCauseNames, cause))
                timeOf(summary.delays, *known) += ms;
        }
        workMs += this->addRuns(step, summary.delays);
    }
    const Span lifetime{summary.acceptedAtMs, summary.acceptedAtMs + summary.tookMs};
    timeOf(summary.delays, DelayCause::NoLeader) = totalOverlap(withoutLeader, lifetime);
    timeOf(summary.delays, DelayCause::LeaderLag) = totalOverlap(this->loopLags, lifetime);
    std::int64_t known = workMs;
    for (const std::int64_t ms : summary.delays)
        known += ms;
    timeOf(summary.delays, DelayCause::Unexplained) =
        std::max<std::int64_t>(0, summary.tookMs - known);
    const auto longest = std::max_element(summary.delays.begin(), summary.delays.end());
    summary.cause = static_cast<DelayCause>(longest - summary.delays.begin());
    return summary;
}

Findings Attribution::findings() const
{
    Findings found;
    found.beginsAtMs = this->beginsAtMs;
    found.endsAtMs = this->endsAtMs;
    found.withoutLeader = this->spansWithoutLeader();
    for (const auto &[id, job] : this->jobs) {
        if (job.summary.acceptedAtMs != 0)
            found.jobs.push_back(this->summarize(job, found.withoutLeader));
    }
    found.jobs.insert(found.jobs.end(), this->refusals.begin(), this->refusals.end());
    std::stable_sort(
        found.jobs.begin(), found.jobs.end(),
        [](const JobSummary &a, const JobSummary &b) { return a.acceptedAtMs < b.acceptedAtMs; });
    return found;
}

} // namespace guavavalve::attribution
