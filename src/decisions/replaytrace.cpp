#include "decisions/replaytrace.h"

#include "decisions/fairscheduler.h"
#include "decisions/firstfitscheduler.h"
#include "decisions/replayaccounting.h"
#include "decisions/tracecodec.h"

#include <algorithm>
#include <cmath>
#include <istream>
#include <memory>
#include <stdexcept>
#include <string>

namespace guavavalve {

using namespace internal;

namespace {

constexpr std::size_t maxLineBytes = 16U << 20U;

std::unique_ptr<Scheduler> makeScheduler(const std::string &name)
{
    if (name == "fair")
        return std::make_unique<FairScheduler>();
    if (name == "first-fit")
        return std::make_unique<FirstFitScheduler>();
    throw std::invalid_argument("unknown scheduler \"" + name + "\"");
}

/// One replay: the replayed scheduler, the independent accounting and the report.
class Replay
{
public:
    void apply(const Json &line, std::uint64_t lineNumber);
    ReplayReport finish();

private:
    void start(const Json &line);
    void submit(const Json &line, Instant now);
    void decide(const Json &line, Instant now);
    void expect(const Json &line);
    void recordDifference(const std::string &text);
    bool applyTargetEvent(const std::string &name, const Json &line, Instant now);
    bool applyTaskEvent(const std::string &name, const Json &line, Instant now);

    std::unique_ptr<Scheduler> scheduler;
    ReplayAccounting accounting;
    ReplayReport report;
    std::uint64_t lineNumber = 0;
};

void Replay::recordDifference(const std::string &text)
{
    if (this->report.firstDifference.empty())
        this->report.firstDifference = "line " + std::to_string(this->lineNumber) + ": " + text;
}

void Replay::start(const Json &line)
{
    if (line.at("version").get<int>() != 1)
        throw std::invalid_argument("unsupported trace version; only version 1 can be read");
    this->scheduler = makeScheduler(line.at("scheduler").get<std::string>());
}

void Replay::submit(const Json &line, Instant now)
{
    const TaskRequest task = taskFrom(line.at("task"));
    const Result<void> result = this->scheduler->submit(task, now);
    const std::string actual =
        result.has_error() ? std::string(enumName(errorCodeNames, result.error().code)) : "taken";
    const auto recorded = line.at("is").get<std::string>();
    if (actual != recorded)
        this->recordDifference("submission was " + recorded + ", is now " + actual);
    if (!result.has_error())
        this->accounting.submitted(task, now);
}

void Replay::decide(const Json &line, Instant now)
{
    std::vector<Decision> decisions;
    this->scheduler->decide(now, decisions);
    const Json &recorded = line.at("d");
    for (std::size_t i = 0; i < decisions.size(); ++i) {
        const Json actual = toJson(decisions[i]);
        if (i >= recorded.size())
            this->recordDifference("decision " + actual.dump() + " was not recorded");
        else if (actual != recorded.at(i))
            this->recordDifference("decision was " + recorded.at(i).dump() + ", is now "
                                   + actual.dump());
        this->accounting.decided(decisions[i], now);
    }
    if (recorded.size() > decisions.size())
        this->recordDifference("decision " + recorded.at(decisions.size()).dump() + " is missing");
    this->report.decisions += decisions.size();
}

void Replay::expect(const Json &line)
{
    ReplayOutcome outcome;
    outcome.measure = line.at("measure").get<std::string>();
    outcome.atLeast = line.value("atLeast", outcome.atLeast);
    outcome.atMost = line.value("atMost", outcome.atMost);
    this->report.outcomes.push_back(outcome);
}

bool Replay::applyTargetEvent(const std::string &name, const Json &line, Instant now)
{
    if (name == "policy") {
        const Policy policy = policyFrom(line.at("policy"));
        this->accounting.applyPolicy(policy);
        this->scheduler->applyPolicy(policy, now);
    } else if (name == "target") {
        const TargetInfo target = targetFrom(line.at("target"));
        this->accounting.targetChanged(target);
        this->scheduler->targetChanged(target, now);
    } else if (name == "lost") {
        this->scheduler->targetLost(TargetId(line.at("id").get<std::uint32_t>()), now);
    } else {
        return false;
    }
    return true;
}

bool Replay::applyTaskEvent(const std::string &name, const Json &line, Instant now)
{
    if (name == "restore") {
        const TaskRequest task = taskFrom(line.at("task"));
        const Resources charge = resourcesFrom(line.at("charge"));
        const auto target = TargetId(line.at("on").get<std::uint32_t>());
        this->accounting.restored(task, charge, target, now);
        this->scheduler->restorePlaced(task, charge, target, now);
        return true;
    }
    const auto task = TaskId(line.at("id").get<std::uint64_t>());
    if (name == "ended") {
        this->accounting.released(task);
        this->scheduler->taskEnded(task, outcomeFrom(line.at("as")), now);
    } else if (name == "requeue") {
        this->accounting.released(task);
        this->scheduler->requeue(task, outcomeFrom(line.at("as")), now);
    } else if (name == "rejected") {
        this->accounting.rejected(task);
        this->scheduler->placementRejected(task, now);
    } else if (name == "cancel") {
        this->scheduler->cancel(task, now);
    } else if (name == "usage") {
        this->scheduler->usageReported(task, resourcesFrom(line.at("used")), now);
    } else {
        return false;
    }
    return true;
}

void Replay::apply(const Json &line, std::uint64_t number)
{
    this->lineNumber = number;
    const auto name = line.at("e").get<std::string>();
    if (name == "trace")
        return this->start(line);
    if (this->scheduler == nullptr)
        throw std::invalid_argument("the first line must be the \"trace\" event");
    if (name == "expect")
        return this->expect(line);
    ++this->report.events;
    const Instant now = instantFrom(line.at("t"));
    if (name == "decide")
        return this->decide(line, now);
    if (name == "submit")
        return this->submit(line, now);
    if (!this->applyTargetEvent(name, line, now) && !this->applyTaskEvent(name, line, now))
        throw std::invalid_argument("unknown event \"" + name + "\"");
}

ReplayReport Replay::finish()
{
    const Statistics statistics = this->scheduler->statistics();
    double running = 0.0;
    double waiting = 0.0;
    for (const ClassStatistics &counts : statistics.classes) {
        running += counts.running;
        waiting += counts.waiting;
    }
    double worstShareError = 0.0;
    for (const TeamStatistics &team : statistics.teams)
        worstShareError = std::max(worstShareError, std::abs(team.share - team.fairShare));
    std::map<std::string, double> &measures = this->report.measures;
    measures["running"] = running;
    measures["waiting"] = waiting;
    measures["packing"] = statistics.packing;
    measures["quarantined"] = statistics.quarantined;
    measures["share-error"] = worstShareError;
    this->accounting.report(measures);
    for (ReplayOutcome &outcome : this->report.outcomes) {
        const auto measure = measures.find(outcome.measure);
        if (measure == measures.end())
            throw std::invalid_argument("unknown measure \"" + outcome.measure + "\"");
        outcome.value = measure->second;
    }
    return this->report;
}

} // namespace

Result<ReplayReport> replayTrace(std::istream &stream)
{
    Replay replay;
    std::uint64_t number = 0;
    try {
        std::string line;
        while (std::getline(stream, line)) {
            ++number;
            if (line.size() > maxLineBytes)
                throw std::invalid_argument("the line is too long");
            replay.apply(Json::parse(line), number);
        }
        if (number == 0)
            throw std::invalid_argument("the trace is empty");
        return replay.finish();
    } catch (const std::exception &exception) {
        return failure(ErrorCode::InvalidArgument,
                       "the trace cannot be read at line " + std::to_string(number) + ": "
                           + exception.what());
    }
}

} // namespace guavavalve
