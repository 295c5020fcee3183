#include "attribution/attribution.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace guavavalve::attribution {

namespace {

/// By the outcomes' names in the log; a run that succeeded is no delay.
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

std::uint32_t numberIn(const std::string &text)
{
    return static_cast<std::uint32_t>(std::strtoul(text.c_str(), nullptr, 10));
}

/// "job.occurrence.step" as the job and the rest.
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

std::int64_t overlapOfAll(const std::vector<Span> &spans, const Span &with)
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

void Attribution::take(const LogEvent &event)
{
    this->beginsAtMs = this->beginsAtMs == 0 ? event.atMs : std::min(this->beginsAtMs, event.atMs);
    this->endsAtMs = std::max(this->endsAtMs, event.atMs);
    if (event.name == "job-sent" && event.text("outcome") == "applied")
        this->takeAccepted(event);
    else if (event.name == "job-refused")
        this->takeRefused(event);
    else if (event.name == "placed")
        this->takePlaced(event);
    else if (event.name == "runs-over")
        this->takeEnds(event);
    else if (event.name == "job-over")
        this->takeOver(event);
    else if (event.name == "loop-late")
        this->lags.emplace_back(event.atMs - event.number("lagMs"), event.atMs);
    if (event.name == "leads" || event.name == "plan" || event.name == "placed")
        this->takeLeader(event);
}

void Attribution::takeAccepted(const LogEvent &event)
{
    JobAccount &account = this->jobs[event.text("job")].account;
    account.job = event.text("job");
    account.queue = event.text("queue");
    account.account = event.text("account");
    account.acceptedAtMs = event.atMs;
    account.objectiveMs = event.number("objectiveMs");
}

void Attribution::takeRefused(const LogEvent &event)
{
    JobAccount refused;
    refused.job = event.text("path");
    refused.fate = JobFate::Refused;
    refused.acceptedAtMs = event.atMs;
    this->refusals.push_back(refused);
}

/// "lives" names "index@life" for each task, "waitedMs" "cause:milliseconds".
void Attribution::takePlaced(const LogEvent &event)
{
    const auto [job, step] = splitStep(event.text("step"));
    Step &placed = this->jobs[job].steps[step];
    placed.estimatedMs = event.number("estimatedMs");
    const auto run = static_cast<std::uint32_t>(event.number("run"));
    for (const std::string &place : split(event.text("lives"), ','))
        placed.tasks[numberIn(place)][run].placedAtMs = event.atMs;
    for (const std::string &wait : split(event.text("waitedMs"), ',')) {
        const std::size_t colon = wait.find(':');
        if (colon != std::string::npos)
            placed.waitedMs[wait.substr(0, colon)] = numberIn(wait.substr(colon + 1));
    }
}

/// "runs" names "job.occurrence.step.index#run=outcome" for each.
void Attribution::takeEnds(const LogEvent &event)
{
    for (const std::string &end : split(event.text("runs"), ',')) {
        const std::size_t hash = end.find('#');
        const std::size_t equals = end.find('=', hash);
        if (hash == std::string::npos || equals == std::string::npos)
            continue;
        const std::string task = end.substr(0, hash);
        const std::size_t dot = task.rfind('.');
        const auto [job, step] = splitStep(task.substr(0, dot));
        Run &run = this->jobs[job].steps[step].tasks[numberIn(task.substr(dot + 1))]
                                                    [numberIn(end.substr(hash + 1))];
        run.overAtMs = event.atMs;
        run.outcome = end.substr(equals + 1);
    }
}

void Attribution::takeOver(const LogEvent &event)
{
    Job &job = this->jobs[event.text("job")];
    job.state = event.text("state");
    job.account.tookMs = event.number("tookMs");
}

void Attribution::takeLeader(const LogEvent &event)
{
    const auto known = this->reignOf.find(event.process);
    if (event.name == "leads" || known == this->reignOf.end()) {
        this->reignOf[event.process] = this->reigns.size();
        this->reigns.emplace_back(event.atMs, event.atMs);
        return;
    }
    this->reigns[known->second].second = event.atMs;
}

std::vector<Span> Attribution::spansWithoutLeader() const
{
    // A controller plans at least every second when it has work.
    constexpr std::int64_t usualSilenceMs = 1200;
    std::vector<Span> led = this->reigns;
    std::sort(led.begin(), led.end());
    std::vector<Span> without;
    for (std::size_t i = 1; i < led.size(); ++i) {
        const Span gap{led[i - 1].second, led[i].first};
        if (gap.second - gap.first > 0 && gap.second - gap.first < this->endsAtMs)
            without.push_back(gap);
    }
    if (!led.empty() && this->endsAtMs - led.back().second > usualSilenceMs)
        without.emplace_back(led.back().second, this->endsAtMs);
    return without;
}

/// Adds what the step's runs lost to \a delays and returns what they took as estimated. Of its
/// tasks, which run side by side, the one that was over last counts.
std::int64_t Attribution::addRuns(const Step &step, DelayTimes &delays) const
{
    const std::map<std::uint32_t, Run> *last = nullptr;
    for (const auto &[index, runs] : step.tasks) {
        if (last == nullptr || runs.rbegin()->second.overAtMs > last->rbegin()->second.overAtMs)
            last = &runs;
    }
    if (last == nullptr)
        return 0;
    std::int64_t workMs = 0;
    for (const auto &[number, run] : *last) {
        if (run.placedAtMs == 0)
            continue; // before the log began
        const std::int64_t overAtMs = run.overAtMs == 0 ? this->endsAtMs : run.overAtMs;
        const std::int64_t tookMs = overAtMs - run.placedAtMs;
        if (const auto cause = enumFromName(causesOfOutcomes, run.outcome)) {
            timeOf(delays, *cause) += tookMs;
            continue;
        }
        const std::int64_t asEstimated =
            step.estimatedMs == 0 ? tookMs : std::min(tookMs, step.estimatedMs);
        timeOf(delays, DelayCause::SlowRun) += tookMs - asEstimated;
        workMs += asEstimated;
    }
    return workMs;
}

/// Steps wait one after the other, so their waits add up.
JobAccount Attribution::accountOf(const Job &job, const std::vector<Span> &withoutLeader) const
{
    JobAccount account = job.account;
    if (job.state.empty())
        account.tookMs = this->endsAtMs - account.acceptedAtMs;
    account.fate = fateOf(job.state, account.tookMs, account.objectiveMs);
    std::int64_t workMs = 0;
    for (const auto &[name, step] : job.steps) {
        for (const auto &[cause, ms] : step.waitedMs) {
            if (const auto known = enumFromName(delayCauseNames, cause))
                timeOf(account.delays, *known) += ms;
        }
        workMs += this->addRuns(step, account.delays);
    }
    const Span life{account.acceptedAtMs, account.acceptedAtMs + account.tookMs};
    timeOf(account.delays, DelayCause::NoLeader) = overlapOfAll(withoutLeader, life);
    timeOf(account.delays, DelayCause::LeaderLag) = overlapOfAll(this->lags, life);
    std::int64_t known = workMs;
    for (const std::int64_t ms : account.delays)
        known += ms;
    timeOf(account.delays, DelayCause::Unexplained) =
        std::max<std::int64_t>(0, account.tookMs - known);
    const auto longest = std::max_element(account.delays.begin(), account.delays.end());
    account.cause = static_cast<DelayCause>(longest - account.delays.begin());
    return account;
}

Findings Attribution::findings() const
{
    Findings found;
    found.beginsAtMs = this->beginsAtMs;
    found.endsAtMs = this->endsAtMs;
    found.withoutLeader = this->spansWithoutLeader();
    for (const auto &[id, job] : this->jobs) {
        if (job.account.acceptedAtMs != 0)
            found.jobs.push_back(this->accountOf(job, found.withoutLeader));
    }
    found.jobs.insert(found.jobs.end(), this->refusals.begin(), this->refusals.end());
    std::stable_sort(
        found.jobs.begin(), found.jobs.end(),
        [](const JobAccount &a, const JobAccount &b) { return a.acceptedAtMs < b.acceptedAtMs; });
    return found;
}

} // namespace guavavalve::attribution
