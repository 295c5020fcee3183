#include "decisions/tracerecorder.h"

#include "decisions/tracecodec.h"

#include <ostream>

namespace guavavalve {

using namespace internal;

namespace {

constexpr int traceVersion = 1;

Json event(const char *name, Instant now)
{
    return Json{{"e", name}, {"t", toJson(now)}};
}

std::string outcomeOf(const Result<void> &result)
{
    return result.has_error() ? std::string(enumName(errorCodeNames, result.error().code))
                              : "taken";
}

} // namespace

TraceRecorder::TraceRecorder(Scheduler &inner, std::ostream &out, const std::string &name)
    : scheduler(inner)
    , stream(out)
{
    this->stream << Json{{"e", "trace"}, {"version", traceVersion}, {"scheduler", name}} << '\n';
}

void TraceRecorder::expectAtMost(const std::string &measure, double value)
{
    this->stream << Json{{"e", "expect"}, {"measure", measure}, {"atMost", value}} << '\n';
}

void TraceRecorder::expectAtLeast(const std::string &measure, double value)
{
    this->stream << Json{{"e", "expect"}, {"measure", measure}, {"atLeast", value}} << '\n';
}

void TraceRecorder::applyPolicy(const Policy &policy, Instant now)
{
    Json line = event("policy", now);
    line["policy"] = toJson(policy);
    this->stream << line << '\n';
    this->scheduler.applyPolicy(policy, now);
}

void TraceRecorder::targetChanged(const TargetInfo &target, Instant now)
{
    Json line = event("target", now);
    line["target"] = toJson(target);
    this->stream << line << '\n';
    this->scheduler.targetChanged(target, now);
}

void TraceRecorder::targetLost(TargetId target, Instant now)
{
    Json line = event("lost", now);
    line["id"] = idValue(target);
    this->stream << line << '\n';
    this->scheduler.targetLost(target, now);
}

Result<void> TraceRecorder::submit(const TaskRequest &task, Instant now)
{
    Result<void> result = this->scheduler.submit(task, now);
    Json line = event("submit", now);
    line["task"] = toJson(task);
    line["is"] = outcomeOf(result);
    this->stream << line << '\n';
    return result;
}

void TraceRecorder::restorePlaced(const TaskRequest &task, const Resources &charge, TargetId target,
                                  Instant now)
{
    Json line = event("restore", now);
    line["task"] = toJson(task);
    line["charge"] = toJson(charge);
    line["on"] = idValue(target);
    this->stream << line << '\n';
    this->scheduler.restorePlaced(task, charge, target, now);
}

void TraceRecorder::taskEnded(TaskId task, AttemptOutcome end, Instant now)
{
    Json line = event("ended", now);
    line["id"] = idValue(task);
    line["as"] = enumName(attemptOutcomeNames, end);
    this->stream << line << '\n';
    this->scheduler.taskEnded(task, end, now);
}

void TraceRecorder::requeue(TaskId task, AttemptOutcome end, Instant now)
{
    Json line = event("requeue", now);
    line["id"] = idValue(task);
    line["as"] = enumName(attemptOutcomeNames, end);
    this->stream << line << '\n';
    this->scheduler.requeue(task, end, now);
}

void TraceRecorder::placementRejected(TaskId task, Instant now)
{
    Json line = event("rejected", now);
    line["id"] = idValue(task);
    this->stream << line << '\n';
    this->scheduler.placementRejected(task, now);
}

bool TraceRecorder::cancel(TaskId task, Instant now)
{
    Json line = event("cancel", now);
    line["id"] = idValue(task);
    this->stream << line << '\n';
    return this->scheduler.cancel(task, now);
}

void TraceRecorder::usageReported(TaskId task, const Resources &used, Instant at)
{
    Json line = event("usage", at);
    line["id"] = idValue(task);
    line["used"] = toJson(used);
    this->stream << line << '\n';
    this->scheduler.usageReported(task, used, at);
}

void TraceRecorder::decide(Instant now, std::vector<Decision> &out)
{
    const std::size_t before = out.size();
    this->scheduler.decide(now, out);
    Json line = event("decide", now);
    Json decisions = Json::array();
    for (std::size_t i = before; i < out.size(); ++i)
        decisions.push_back(toJson(out[i]));
    line["d"] = decisions;
    this->stream << line << '\n';
}

Instant TraceRecorder::nextWakeup() const
{
    return this->scheduler.nextWakeup();
}

Explanation TraceRecorder::explain(TaskId task) const
{
    return this->scheduler.explain(task);
}

Statistics TraceRecorder::statistics() const
{
    return this->scheduler.statistics();
}

} // namespace guavavalve
