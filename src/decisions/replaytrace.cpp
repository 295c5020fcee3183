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

/// One replay: the scheduler under test, the books and the report.
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
    void differ(const std::string &text);
    bool applyTargetEvent(const std::string &name, const Json &line, Instant now);
    bool applyTaskEvent(const std::string &name, const Json &line, Instant now);

    std::unique_ptr<Scheduler> scheduler;
    ReplayAccounting books;
    ReplayReport report;
    std::uint64_t lineNumber = 0;
};

void Replay::differ(const std::string &text)
{
    if (this->report.firstDifference.empty())
        this->report.firstDifference = "line " + std::to_string(this->lineNumber) + ": " + text;
}

void Replay::start(const Json &line)
{
    if (line.at("version").get<int>() != 1)
        throw std::invalid_argument("only traces of version 1 can be read");
    this->scheduler = makeScheduler(line.at("scheduler").get<std::string>());
}

void Replay::submit(const Json &line, Instant now)
{
    const TaskRequest task = taskFrom(line.at("task"));
    const Result<void> result = this->scheduler->submit(task, now);
    const std::string is =
        result.has_error() ? std::string(enumName(errorCodeNames, result.error().code)) : "taken";
    const auto recorded = line.at("is").get<std::string>();
    if (is != recorded)
        this->differ("submission was " + recorded + ", is now " + is);
    if (!result.has_error())
        this->books.submitted(task, now);
}

void Replay::decide(const Json &line, Instant now)
{
    std::vector<Decision> decisions;
    this->scheduler->decide(now, decisions);
    const Json &recorded = line.at("d");
    for (std::size_t i = 0; i < decisions.size(); ++i) {
        const Json is = toJson(decisions[i]);
        if (i >= recorded.size())
            this->differ("decision " + is.dump() + " is new");
        else if (is != recorded.at(i))
            this->differ("decision was " + recorded.at(i).dump() + ", is now " + is.dump());
        this->books.decided(decisions[i], now);
    }
    if (recorded.size() > decisions.size())
        this->differ("decision " + recorded.at(decisions.size()).dump() + " is missing");
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
        this->books.applyPolicy(policy);
        this->scheduler->applyPolicy(policy, now);
    } else if (name == "target") {
        const TargetInfo target = targetFrom(line.at("target"));
        this->books.targetChanged(target);
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
        this->books.restored(task, charge, target, now);
        this->scheduler->restorePlaced(task, charge, target, now);
        return true;
    }
    const auto task = TaskId(line.at("id").get<std::uint64_t>());
    if (name == "ended") {
        this->books.released(task);
        this->scheduler->taskEnded(task, outcomeFrom(line.at("as")), now);
    } else if (name == "requeue") {
        this->books.released(task);
        this->scheduler->requeue(task, outcomeFrom(line.at("as")), now);
    } else if (name == "rejected") {
        this->books.rejected(task);
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
        throw std::invalid_argument("the first line must be the trace's own");
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
    double worst = 0.0;
    for (const TeamStatistics &team : statistics.teams)
        worst = std::max(worst, std::abs(team.share - team.fairShare));
    std::map<std::string, double> &measures = this->report.measures;
    measures["running"] = running;
    measures["waiting"] = waiting;
    measures["packing"] = statistics.packing;
    measures["quarantined"] = statistics.quarantined;
    measures["share-error"] = worst;
    this->books.report(measures);
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
