#include <catch2/catch.hpp>

#include "decisions/fairscheduler.h"
#include "decisions/replaytrace.h"
#include "decisions/tracerecorder.h"

#include <fstream>
#include <sstream>

using namespace guavavalve;

namespace {

void checkTrace(const std::string &name)
{
    std::ifstream file(std::string(TRACES_FOLDER) + "/" + name);
    REQUIRE(file);
    const Result<ReplayReport> result = replayTrace(file);
    if (result.has_error())
        FAIL(result.error().message);
    const ReplayReport &report = result.value();
    CHECK(report.decisions > 500);
    CHECK(report.firstDifference.empty());
    CHECK(report.outcomes.size() >= 7);
    for (const ReplayOutcome &outcome : report.outcomes) {
        INFO(outcome.measure << " is " << outcome.value << ", expected " << outcome.atLeast
                             << " to " << outcome.atMost);
        CHECK(outcome.met());
    }
}

std::string smallTrace()
{
    std::ostringstream stream;
    FairScheduler fair;
    TraceRecorder recorder(fair, stream, "fair");
    recorder.expectAtLeast("placed", 1);
    const Instant now{std::chrono::seconds(5)};
    Policy policy;
    policy.teams.push_back(TeamPolicy{TeamId(1), 1.0, unlimitedResources(), {}, false});
    recorder.applyPolicy(policy, now);
    TargetInfo target;
    target.id = TargetId(1);
    target.total = Resources{{4000, 8000, 0, 8, 64}};
    recorder.targetChanged(target, now);
    TaskRequest task;
    task.id = TaskId(1);
    task.team = TeamId(1);
    task.need = Resources{{1000, 1000, 0, 1, 1}};
    REQUIRE_FALSE(recorder.submit(task, now).has_error());
    std::vector<Decision> decisions;
    recorder.decide(now, decisions);
    REQUIRE(decisions.size() == 1);
    return stream.str();
}

} // namespace

TEST_CASE("the trace of Brandvold replays to the same decisions and its stated outcomes", "[trace]")
{
    checkTrace("brandvold.jsonl");
}

TEST_CASE("the trace of Cwm Meryw replays to the same decisions and its stated outcomes", "[trace]")
{
    checkTrace("cwm-meryw.jsonl");
}

TEST_CASE("a replay names the line of the first decision that differs", "[trace]")
{
    std::string trace = smallTrace();
    std::istringstream same(trace);
    CHECK(replayTrace(same).value().passed());
    const std::string reason = "best-fit";
    trace.replace(trace.find(reason), reason.size(), "spread");
    std::istringstream changed(trace);
    const ReplayReport report = replayTrace(changed).value();
    CHECK_FALSE(report.passed());
    CHECK(report.firstDifference.find("line 6") != std::string::npos);
}

TEST_CASE("a replay fails when a stated outcome is not met", "[trace]")
{
    const std::string trace =
        smallTrace() + "{\"e\":\"expect\",\"measure\":\"placed\",\"atLeast\":2}\n";
    std::istringstream stream(trace);
    const ReplayReport report = replayTrace(stream).value();
    CHECK_FALSE(report.passed());
    CHECK(report.firstDifference.empty());
}

TEST_CASE("a malformed trace is rejected as an invalid argument", "[trace]")
{
    for (const char *bad : {"", "{", "{\"e\":\"decide\",\"t\":1,\"d\":[]}",
                            "{\"e\":\"trace\",\"version\":9,\"scheduler\":\"fair\"}",
                            "{\"e\":\"trace\",\"version\":1,\"scheduler\":\"none\"}"}) {
        std::istringstream stream(bad);
        const Result<ReplayReport> result = replayTrace(stream);
        REQUIRE(result.has_error());
        CHECK(result.error().code == ErrorCode::InvalidArgument);
    }
}
