#include <catch2/catch.hpp>

#include "platform/leaderfixture.h"

#include <cstdint>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::platform;
using namespace guavavalve::workflows;

namespace {

const std::string host = "jobs.example";
const std::string jobPath = "/q/5c0e7a21d94b36f8";
const std::string domainPath = "/evacuation/d";

struct OutdatedFixture : LeaderFixture
{
    /// The time now, as one that is later than all before it.
    static Instant later()
    {
        std::this_thread::sleep_for(Milliseconds(2));
        return monotonicNow();
    }
    /// Of a call that is received now, and was sent after \a sentNotBefore.
    CallStamp sentAfter(Instant sentNotBefore) const
    {
        return {this->term, monotonicNow().time_since_epoch().count(),
                sentNotBefore.time_since_epoch().count()};
    }
    int cancel(const std::string &key = "key")
    {
        return this->call("DELETE", jobPath, host, "", key);
    }
    int order(const std::string &method, Instant sentNotBefore)
    {
        return this->call(method, domainPath, "", "", "", this->sentAfter(sentNotBefore));
    }
    std::size_t stored()
    {
        return this->machine.read([](const WorkflowStore &s) { return s.workflows().size(); });
    }
    bool isEvacuated()
    {
        return this->machine.read(
            [](const WorkflowStore &s) { return s.evacuatedDomains().count("d") != 0; });
    }
    void changeLeader()
    {
        this->controller.leadershipChanged(false, this->term);
        this->controller.leadershipChanged(true, ++this->term);
        this->runPosted();
    }

    std::uint64_t term = 1;
    std::vector<int> statuses; ///< of answers to calls that were sent together
};

} // namespace

// Guards against a job that runs although its cancel was acknowledged: the request for it was held
// up by an entry that stood still.
TEST_CASE_METHOD(OutdatedFixture, "a request older than the cancel of its job is not accepted",
                 "[leaderservice][outdated]")
{
    const bool isLeaderChanged = GENERATE(false, true);
    const Instant before = this->later();
    CHECK(this->cancel() == 410);
    if (isLeaderChanged)
        this->changeLeader();
    CHECK(this->submit("key", this->sentAfter(before)) == 503);
    CHECK(this->submit("key", CallStamp{}) == 503);
    CHECK(this->stored() == 0);
    CHECK(this->call("GET", jobPath, host, "") == 410);
    // A client that is still there sends it again.
    CHECK(this->submit("key", this->sentAfter(this->later())) == 200);
    CHECK(this->call("GET", jobPath, host, "") == 200);
    CHECK(this->cancel() == 200);
}

// Guards against a cancel that overtakes the request for its job within the controller.
TEST_CASE_METHOD(OutdatedFixture, "a job that is being stored when its cancel comes is cancelled",
                 "[leaderservice][outdated]")
{
    const auto send = [this](const std::string &method, const std::string &body) {
        RelayedCall call;
        call.method = method;
        call.path = jobPath;
        call.host = host;
        call.key = "key";
        call.body = body;
        this->service.serve(call, CallStamp{}, [this](const Result<RelayedAnswer> &answer) {
            this->statuses.push_back(answer ? answer.value().status : -1);
        });
    };
    send("POST", R"({"TaskSpec": "x", "Steps": [{"TaskCount": 1, "Cpu": 1000}]})");
    send("DELETE", "");
    CHECK(this->statuses.empty());
    this->runPosted();
    CHECK(this->statuses == std::vector<int>{200, 200});
    CHECK(this->stored() == 1);
    CHECK(this->machine.read([](const WorkflowStore &s) {
        return s.workflows().begin()->second.state();
    }) == WorkflowState::Cancelled);
}

// Guards against a cancel that an instance has held up, when its client has handed the job in
// again.
TEST_CASE_METHOD(OutdatedFixture, "a cancel that took too long to arrive is not carried out",
                 "[leaderservice][outdated]")
{
    REQUIRE(this->submit() == 200);
    const Instant receivedAt = monotonicNow() - IntakeLimits().attemptLifetime;
    const CallStamp old{this->term, receivedAt.time_since_epoch().count()};
    CHECK(this->call("DELETE", jobPath, host, "", "key", old) == -1);
    CHECK(this->ran == Ran::Unknown);
    CHECK(this->machine.read([](const WorkflowStore &s) {
        return s.workflows().begin()->second.state();
    }) == WorkflowState::Queued);
}

// Guards against an acknowledged job that ends by an earlier cancel, which an instance has held up
// for less than the time after which it would be dropped.
TEST_CASE_METHOD(OutdatedFixture, "a late cancel does not undo a later request for its job",
                 "[leaderservice][outdated]")
{
    const bool isLeaderChanged = GENERATE(false, true);
    const bool isNewJob = GENERATE(false, true);
    const auto at = [this](Instant receivedAt) {
        return CallStamp{this->term, receivedAt.time_since_epoch().count()};
    };
    if (!isNewJob)
        REQUIRE(this->submit("key", at(this->later())) == 200);
    const Instant heldUp = this->later();
    REQUIRE(this->submit("key", at(this->later())) == 200);
    if (isLeaderChanged)
        this->changeLeader();
    CHECK(this->call("DELETE", jobPath, host, "", "key", at(heldUp)) == 503);
    CHECK(this->machine.read([](const WorkflowStore &s) {
        return s.workflows().begin()->second.state();
    }) == WorkflowState::Queued);
    CHECK(this->call("DELETE", jobPath, host, "", "key", at(this->later())) == 200);
}

// Guards against a client account that keeps jobs of another one from being accepted.
TEST_CASE_METHOD(OutdatedFixture, "the cancel of an unknown job concerns its account alone",
                 "[leaderservice][outdated]")
{
    const Instant before = this->later();
    CHECK(this->cancel("other") == 410);
    CHECK(this->submit("key", this->sentAfter(before)) == 200);
    CHECK(this->cancel("other") == 410);
    CHECK(this->call("GET", jobPath, host, "") == 200);
}

// Guards against cancels of unknown jobs that fill the memory, and against one account that uses up
// what is there for all.
TEST_CASE_METHOD(OutdatedFixture, "the cancels of unknown jobs are bounded for each account",
                 "[leaderservice][outdated]")
{
    constexpr std::uint64_t limit = 4000;
    const auto cancelOf = [this](std::uint64_t job, const std::string &key) {
        char path[32]; // NOLINT(modernize-avoid-c-arrays)
        std::snprintf(path, sizeof path, "/q/%016llx", static_cast<unsigned long long>(job));
        return this->call("DELETE", path, host, "", key);
    };
    for (std::uint64_t job = 1; job <= limit; ++job)
        REQUIRE(cancelOf(job, "key") == 410);
    CHECK(cancelOf(limit + 1, "key") == 503);
    CHECK(cancelOf(limit + 1, "other") == 410);
    // They count for as long as they are kept.
    this->calendarNowMs += UnknownCancels::retentionMs + 1;
    CHECK(cancelOf(limit + 1, "key") == 410);
    CHECK(this->machine.read([](const WorkflowStore &s) { return s.unknownCancels().size(); })
          == 1);
}

// Guards against cancels of unknown jobs that stay in the replicated state, or are lost with it.
TEST_CASE("cancels of unknown jobs are part of the state for a minute", "[outdated]")
{
    WorkflowStore store;
    const auto id = static_cast<WorkflowId>(1);
    store.apply({CancelUnknown{id, "q", "a", 1000}});
    WorkflowStore restored;
    REQUIRE(restored.restore(store.snapshot()));
    CHECK(restored.unknownCancels().has({"a", id}, "q"));
    CHECK_FALSE(restored.unknownCancels().has({"a", id}, "other"));
    CHECK_FALSE(restored.unknownCancels().has({"b", id}, "q"));
    restored.apply(
        {CancelUnknown{static_cast<WorkflowId>(2), "q", "a", 1001 + UnknownCancels::retentionMs}});
    CHECK_FALSE(restored.unknownCancels().has({"a", id}, "q"));
    CHECK(restored.unknownCancels().countOf("a") == 1);
}

// Guards against a withdrawal, held up by a replica that stood still, that undoes the evacuation
// which has followed it.
TEST_CASE_METHOD(OutdatedFixture, "a late withdrawal does not undo a later evacuation",
                 "[leaderservice][outdated]")
{
    const bool isLeaderChanged = GENERATE(false, true);
    REQUIRE(this->order("POST", this->later()) == 200);
    const Instant heldUp = this->later();
    REQUIRE(this->order("DELETE", this->later()) == 200);
    REQUIRE(this->order("POST", this->later()) == 200);
    if (isLeaderChanged)
        this->changeLeader();
    CHECK(this->order("DELETE", heldUp) == 307);
    CHECK(this->call("DELETE", domainPath, "", "") == 307);
    CHECK(this->isEvacuated());
    CHECK(this->order("POST", heldUp) == 200); // a repetition is acknowledged again
    CHECK(this->order("DELETE", this->later()) == 200);
    CHECK_FALSE(this->isEvacuated());
}

// Guards against a failure domain that stays empty for good, by an evacuation that was withdrawn.
TEST_CASE_METHOD(OutdatedFixture, "a late evacuation does not undo a later withdrawal",
                 "[leaderservice][outdated]")
{
    const Instant heldUp = this->later();
    REQUIRE(this->order("POST", this->later()) == 200);
    REQUIRE(this->order("DELETE", this->later()) == 200);
    CHECK(this->order("POST", heldUp) == 307);
    CHECK_FALSE(this->isEvacuated());
    CHECK(this->order("POST", this->later()) == 200);
    CHECK(this->isEvacuated());
}

// Guards against an order that is taken between the arrival of a later one and its storing.
TEST_CASE_METHOD(OutdatedFixture, "an order does not follow a later one that is being stored",
                 "[leaderservice][outdated]")
{
    const Instant heldUp = this->later();
    std::vector<int> statuses;
    const auto send = [&](const std::string &method, Instant sentNotBefore) {
        RelayedCall call;
        call.method = method;
        call.path = domainPath;
        this->service.serve(call, this->sentAfter(sentNotBefore),
                            [&statuses](const Result<RelayedAnswer> &answer) {
                                statuses.push_back(answer ? answer.value().status : -1);
                            });
    };
    send("POST", this->later());
    send("DELETE", heldUp);
    this->runPosted();
    CHECK(statuses == std::vector<int>{307, 200});
    CHECK(this->isEvacuated());
}
