#include <catch2/catch.hpp>

#include "controller/controllerlink.h"
#include "core/codec.h"
#include "platform/relay.h"
#include "replicas/messenger.h"
#include "workflows/controller/controller.h"
#include "workflows/reports/reportaggregator.h"
#include "workflows/store/workflowstore.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::platform;
using namespace guavavalve::workflows;

namespace {

constexpr unsigned targets = 500;
const std::string leaderAddress = "leader";
const std::string memberAddress = "member";

std::string nameOf(unsigned target)
{
    return "t" + std::to_string(target);
}

/// On a controller's clock that is the same as this machine's.
CallStamp stampAt(std::uint64_t term, Instant receivedAt, Instant sentNotBefore)
{
    if (term == 0)
        return {};
    return {term, receivedAt.time_since_epoch().count(), sentNotBefore.time_since_epoch().count()};
}

TargetIdentity identityOf(unsigned target, std::int64_t startedAtMs)
{
    TargetIdentity identity;
    identity.name = nameOf(target);
    identity.startedAtMs = startedAtMs;
    identity.address = "127.0.0.9:80";
    identity.service = "s";
    identity.failureDomain = "z";
    identity.capacity[ResourceKind::MilliCores] = 16000;
    identity.capacity[ResourceKind::MemoryMb] = 32768;
    return identity;
}

/// Delivers calls at once: to the leader, which answers all of them, and to the relay of a member
/// of the group that knows all targets.
class FakeGroup : public Messenger
{
public:
    FakeGroup()
    {
        for (unsigned i = 0; i < targets; ++i)
            this->store.apply({RegisterIncarnation{identityOf(i, 1700)}});
        this->aggregator.acknowledged(monotonicNow());
        this->member = this->makeRelay(memberAddress, true);
        this->spare = this->makeRelay("spare", false);
    }

    void handle(Method, Handler) override {}
    void call(const std::string &address, Method method, std::string payload, Instant,
              Done<std::string> done) override
    {
        if (address == memberAddress && method == Method::TargetReport) {
            if (this->isMemberUp)
                this->member->serveForwardedReport(payload, done);
            else
                done(failure(ErrorCode::Unavailable, "the instance cannot be reached"));
            return;
        }
        if (address != leaderAddress)
            return;
        ++this->leaderCalls;
        if (method == Method::RelayDated)
            this->lastStamp = decode<DatedCall>(payload).value().stamp;
        if (method == Method::RelayDated
            && decode<DatedCall>(payload).value().stamp.term != this->leaderTerm) {
            Error error = failure(otherTermError, "stamped for another controller");
            error.ran = Ran::Unknown;
            done(error);
            return;
        }
        RelayedAnswer answer;
        answer.status = 200;
        answer.body = "{}";
        done(encode(answer));
    }

    /// Sends the report of a target to \a relay; returns the status of the answer.
    static int report(Relay &relay, unsigned target, std::int64_t startedAtMs = 1700,
                      const std::string &state = "ready")
    {
        const nlohmann::json body{{"Service", "s"},
                                  {"Address", "127.0.0.9:80"},
                                  {"Zone", "z"},
                                  {"State", state},
                                  {"Sequence", 1},
                                  {"born", startedAtMs},
                                  {"Capacity", {{"Cpu", 16000}, {"MemMb", 32768}, {"Gpus", 0}}},
                                  {"Labels", nlohmann::json::array()}};
        HttpRequest request;
        request.method = "PUT";
        request.path = "/instances/" + nameOf(target);
        request.body = body.dump();
        int status = 0;
        relay.serveControl(request,
                           [&status](const HttpResponse &response) { status = response.status; });
        return status;
    }

    WorkflowStore store; ///< the member's copy of the stored state
    ReportAggregator aggregator;
    std::unique_ptr<Relay> member;
    std::unique_ptr<Relay> spare; ///< of an instance that has no copy of the stored state
    bool isMemberUp = true;
    std::size_t leaderCalls = 0;
    std::uint64_t leaderTerm = 7;
    std::uint64_t answeredTerm = 7; ///< of the controller that answers questions for its clock
    CallStamp stamp; ///< unknown: the controller is of an earlier build
    CallStamp lastStamp; ///< that the leader has received
    Instant clockLearnedAt{};

private:
    bool answers(const TargetReport &report)
    {
        const IncarnationId found = this->store.matchingNewest(report.identity, !report.isReady);
        if (found == IncarnationId::None || !this->aggregator.mayAnswer(monotonicNow()))
            return false;
        this->aggregator.add(found);
        return true;
    }

    std::unique_ptr<Relay> makeRelay(const std::string &instance, bool isMember)
    {
        auto link =
            std::make_shared<ControllerLink>(*this, std::vector<std::string>{leaderAddress},
                                             [](Milliseconds, const std::function<void()> &) {});
        Relay::Hooks hooks;
        hooks.localService = [] { return nullptr; };
        hooks.hasController = [] { return true; };
        hooks.isStored = [](const TargetReport &) { return false; };
        hooks.answersReport = [this, isMember](const TargetReport &report) {
            return isMember && this->answers(report);
        };
        hooks.replicaFor = [isMember](const std::string &) {
            return isMember ? std::string() : memberAddress;
        };
        hooks.post = [](const std::function<void()> &action) { action(); };
        hooks.answered = [](int, Microseconds) {};
        hooks.stamp = [this](Instant receivedAt, Instant sentNotBefore) {
            return stampAt(this->stamp.term, receivedAt, sentNotBefore);
        };
        hooks.refreshClock = [this](const std::function<void()> &done) {
            this->stamp.term = this->answeredTerm;
            this->clockLearnedAt = monotonicNow();
            while (monotonicNow() <= this->clockLearnedAt) {}
            done();
        };
        hooks.seekController = [] {};
        hooks.runAfter = [](Milliseconds, const std::function<void()> &) {};
        return std::make_unique<Relay>(std::move(link), *this, std::move(hooks), instance);
    }
};

/// An entry with a leader that answers at once, and may be of an earlier build.
class FakeEntry : public Messenger
{
public:
    explicit FakeEntry(bool holdsCalls = true)
    {
        auto link =
            std::make_shared<ControllerLink>(*this, std::vector<std::string>{leaderAddress},
                                             [](Milliseconds, const std::function<void()> &) {});
        Relay::Hooks hooks;
        hooks.localService = [] { return nullptr; };
        hooks.hasController = [this] { return this->hasController; };
        hooks.holdsCalls = holdsCalls;
        hooks.seekController = [this] { ++this->searches; };
        hooks.post = [](const std::function<void()> &action) { action(); };
        hooks.runAfter = [this](Milliseconds, std::function<void()> action) {
            this->timer = std::move(action);
        };
        hooks.answered = [](int, Microseconds) {};
        hooks.stamp = [this](Instant receivedAt, Instant sentNotBefore) {
            return stampAt(this->term, receivedAt, sentNotBefore);
        };
        this->relay = std::make_unique<Relay>(std::move(link), *this, std::move(hooks), "entry");
    }

    void handle(Method, Handler) override {}
    void call(const std::string &, Method method, std::string payload, Instant,
              Done<std::string> done) override
    {
        if (method == Method::RelayDated && this->isLeaderOlder) {
            done(failure(ErrorCode::NotFound, "this instance does not serve the requested method"));
            return;
        }
        this->calls.push_back(method);
        if (method == Method::RelayDated)
            this->stamps.push_back(decode<DatedCall>(payload).value().stamp);
        if (this->isLeaderSilent) {
            this->unanswered.push_back(std::move(done));
            return;
        }
        RelayedAnswer answer;
        answer.status = 200;
        answer.body = "{}";
        done(encode(answer));
    }

    void post(const std::string &job, const std::string &deadlineMs = "3000")
    {
        HttpRequest request;
        request.headers["Host"] = "jobs.example";
        request.method = "POST";
        request.path = "/q/" + job;
        request.headers["X-Deadline-Ms"] = deadlineMs;
        this->relay->serveCaller(
            request, [this](const HttpResponse &response) { this->answers.push_back(response); });
    }
    void fireTimer()
    {
        const auto action = std::move(this->timer);
        this->timer = nullptr;
        if (action)
            action();
    }

    bool hasController = true;
    bool isLeaderOlder = false;
    bool isLeaderSilent = false;
    std::uint64_t term = 7; ///< 0: the controller's clock is not known
    std::function<void()> timer;
    int searches = 0;
    std::vector<Method> calls; ///< that the leader has received
    std::vector<CallStamp> stamps;
    std::vector<Done<std::string>> unanswered; ///< by a silent leader
    std::vector<HttpResponse> answers;
    std::unique_ptr<Relay> relay;
};

} // namespace

// Guards against a leader whose work grows with the number of targets that report to all replicas.
TEST_CASE("reports that contain nothing new cost the leader nothing for each target", "[relay]")
{
    FakeGroup group;
    for (int round = 0; round < 4; ++round) {
        for (unsigned i = 0; i < targets; ++i) {
            Relay &relay =
                (i + static_cast<unsigned>(round)) % 2 == 0 ? *group.member : *group.spare;
            REQUIRE(FakeGroup::report(relay, i) == 200);
        }
    }
    CHECK(group.leaderCalls == 0);
    CHECK(group.aggregator.take().heard.size() == targets);
}

TEST_CASE("reports with new information reach the leader from every instance", "[relay]")
{
    FakeGroup group;
    for (Relay *relay : {group.member.get(), group.spare.get()}) {
        group.leaderCalls = 0;
        CHECK(FakeGroup::report(*relay, 1, 1700, "draining") == 200);
        CHECK(FakeGroup::report(*relay, 2, 1800) == 200); // a later incarnation
        CHECK(FakeGroup::report(*relay, 3, 1600) == 200); // one that is over
        CHECK(FakeGroup::report(*relay, targets) == 200); // an unknown target
        CHECK(group.leaderCalls == 4);
    }
    CHECK(group.aggregator.take().heard.empty());
}

// Guards against targets that a cut-off replica keeps from reporting elsewhere.
TEST_CASE("a replica answers no reports unless the leader acknowledges its summaries", "[relay]")
{
    FakeGroup group;
    group.aggregator.acknowledged(monotonicNow() - ReportAggregator::answerDuration);
    CHECK(FakeGroup::report(*group.member, 1) == 200);
    CHECK(FakeGroup::report(*group.spare, 2) == 200);
    CHECK(group.leaderCalls == 2);
}

// Guards against requests lost with a change of leader: the new one takes no call of before.
TEST_CASE("a request stamped for an earlier controller is stamped anew and sent again", "[relay]")
{
    FakeGroup group;
    group.stamp = {6, 1000};
    HttpRequest request;
    request.headers["Host"] = "jobs.example";
    request.method = "POST";
    request.path = "/q/0123456789abcdef";
    int status = 0;
    const HttpReply reply = [&](const HttpResponse &response) { status = response.status; };
    group.spare->serveCaller(request, reply);
    CHECK(status == 200);
    CHECK(group.leaderCalls == 2);
}

// Guards against an attempt that passes for a newer one than it is, and escapes a refusal.
TEST_CASE("a request stamped anew keeps the time of its arrival", "[relay]")
{
    FakeGroup group;
    group.stamp = {6, 1000};
    HttpRequest request;
    request.headers["Host"] = "jobs.example";
    request.method = "POST";
    request.path = "/q/0123456789abcdef";
    group.spare->serveCaller(request, [](const HttpResponse &) {});
    CHECK(group.lastStamp.term == 7);
    CHECK(group.lastStamp.controllerUs <= group.clockLearnedAt.time_since_epoch().count());
}

// Guards against endless repeats while the controller's clock cannot be learned.
TEST_CASE("a request is not sent again with the stamp that was not taken", "[relay]")
{
    FakeGroup group;
    group.stamp = {6, 1000};
    group.answeredTerm = 6;
    HttpRequest request;
    request.headers["Host"] = "jobs.example";
    request.method = "POST";
    request.path = "/q/0123456789abcdef";
    int status = 0;
    const HttpReply reply = [&](const HttpResponse &response) { status = response.status; };
    group.spare->serveCaller(request, reply);
    CHECK(status == 504); // another attempt may run: the leader has said nothing of the request
    CHECK(group.leaderCalls == 1);
}

TEST_CASE("a report goes to the leader if the replica that may answer it is down", "[relay]")
{
    FakeGroup group;
    group.isMemberUp = false;
    CHECK(FakeGroup::report(*group.spare, 1) == 200);
    CHECK(group.leaderCalls == 1);
}

TEST_CASE("a summary that was not acknowledged is sent again", "[relay]")
{
    ReportAggregator aggregator;
    aggregator.add(static_cast<IncarnationId>(1));
    const ReportSummary lost = aggregator.take();
    CHECK(aggregator.take().heard.empty());
    aggregator.add(static_cast<IncarnationId>(2));
    aggregator.returned(lost);
    CHECK(aggregator.take().heard.size() == 2);
}

// Guards against a rejection of everyone during a change of leader, after which all return
// together.
TEST_CASE("a request without a controller is held and handed in once there is one",
          "[relay][calls]")
{
    FakeEntry entry;
    entry.hasController = false;
    entry.post("a");
    entry.fireTimer();
    CHECK(entry.answers.empty());
    CHECK(entry.calls.empty());
    CHECK(entry.searches == 1);
    entry.hasController = true;
    entry.fireTimer();
    REQUIRE(entry.answers.size() == 1);
    CHECK(entry.answers.front().status == 200);
}

// Guards against a held request that passes for a new one: its age counts from its arrival.
TEST_CASE("a held request keeps the stamp of its arrival", "[relay][calls]")
{
    FakeEntry entry;
    entry.hasController = false;
    entry.post("a");
    const std::int64_t postedUs = monotonicNow().time_since_epoch().count();
    while (monotonicNow().time_since_epoch().count() <= postedUs) {}
    entry.hasController = true;
    entry.fireTimer();
    REQUIRE(entry.stamps.size() == 1);
    CHECK(entry.stamps.front().controllerUs <= postedUs);
}

// Guards against an unstamped call, which cannot be refused truly, for want of a clock at arrival.
TEST_CASE("a held request is stamped when it is handed in if the clock is known by then",
          "[relay][calls]")
{
    FakeEntry entry;
    entry.hasController = false;
    entry.term = 0;
    entry.post("a");
    entry.term = 8;
    entry.hasController = true;
    entry.fireTimer();
    REQUIRE(entry.stamps.size() == 1);
    CHECK(entry.stamps.front().term == 8);
}

// Guards against a refusal that is untrue: what was answered 503 must never have been sent.
TEST_CASE("a held request that cannot be served in time is rejected and never sent",
          "[relay][calls]")
{
    FakeEntry entry;
    entry.hasController = false;
    entry.post("a", "700"); // held for 300 ms
    REQUIRE(entry.answers.empty());
    const Instant end = monotonicNow() + Milliseconds(20000);
    while (entry.answers.empty() && monotonicNow() < end) {
        entry.fireTimer();
        std::this_thread::sleep_for(Milliseconds(5));
    }
    REQUIRE(entry.answers.size() == 1);
    CHECK(entry.answers.front().status == 503);
    CHECK(entry.answers.front().headers.at("Retry-After") == "1");
    entry.hasController = true;
    entry.fireTimer();
    CHECK(entry.calls.empty());
}

// Guards against a second flood: what was held must not reach the new leader all at once.
TEST_CASE("held requests reach a new leader a few at a time", "[relay][calls]")
{
    constexpr std::size_t requests = 100;
    constexpr std::size_t mostAtOnce = 10;
    FakeEntry entry;
    entry.hasController = false;
    entry.isLeaderSilent = true;
    for (std::size_t i = 0; i < requests; ++i)
        entry.post("a" + std::to_string(i));
    entry.hasController = true;
    entry.fireTimer();
    entry.fireTimer();
    CHECK(!entry.calls.empty());
    CHECK(entry.calls.size() <= mostAtOnce);
}

// Guards against an entry that stays in held mode while arrivals exceed what it hands in: a short
// loss of contact would then reject requests for as long as the load lasts.
TEST_CASE("requests that arrive while held ones are handed in are served at once", "[relay][calls]")
{
    constexpr std::size_t held = 20;
    constexpr std::size_t arrivals = 100;
    FakeEntry entry;
    entry.hasController = false;
    for (std::size_t i = 0; i < held; ++i)
        entry.post("h" + std::to_string(i));
    CHECK(entry.searches == 1);
    entry.hasController = true;
    entry.isLeaderSilent = true;
    entry.fireTimer();
    const std::size_t paced = entry.calls.size();
    CHECK(paced < held);
    for (std::size_t i = 0; i < arrivals; ++i)
        entry.post("a" + std::to_string(i));
    CHECK(entry.calls.size() == paced + arrivals);
    RelayedAnswer answer;
    answer.status = 200;
    answer.body = "{}";
    while (!entry.unanswered.empty()) {
        for (const auto &done : std::exchange(entry.unanswered, {}))
            done(encode(answer));
    }
    REQUIRE(entry.answers.size() == held + arrivals);
    for (const HttpResponse &response : entry.answers)
        CHECK(response.status == 200);
}

// Guards against a 503 that blames a missing controller while requests are served.
TEST_CASE("a held request that is not handed in within its time is rejected for that reason",
          "[relay][calls]")
{
    FakeEntry entry;
    entry.hasController = false;
    for (int i = 0; i < 10; ++i)
        entry.post("h" + std::to_string(i), "700");
    entry.hasController = true;
    entry.isLeaderSilent = true;
    entry.fireTimer();
    std::this_thread::sleep_for(Milliseconds(320));
    entry.fireTimer();
    REQUIRE(entry.answers.size() == 10 - entry.calls.size());
    CHECK(entry.answers.front().body.find("not handed in") != std::string::npos);
}

// Guards against a return of all expired callers at the same time, if they wait for long.
TEST_CASE("the return of callers whose held requests expire is spread", "[relay][calls]")
{
    FakeEntry entry;
    entry.hasController = false;
    for (int i = 0; i < 50; ++i)
        entry.post("a" + std::to_string(i), ""); // does not say how long it waits
    CHECK(entry.searches == 1);
    REQUIRE(entry.answers.empty());
    std::this_thread::sleep_for(Milliseconds(1050));
    entry.fireTimer();
    REQUIRE(entry.answers.size() == 50);
    std::set<std::string> delays;
    for (const HttpResponse &answer : entry.answers)
        delays.insert(answer.headers.at("Retry-After"));
    CHECK(delays.size() > 1);
}

TEST_CASE("requests are rejected with one Retry-After if holding is disabled", "[relay][calls]")
{
    FakeEntry entry(false);
    entry.hasController = false;
    for (int i = 0; i < 50; ++i)
        entry.post("a" + std::to_string(i));
    CHECK(entry.searches == 0);
    REQUIRE(entry.answers.size() == 50);
    for (const HttpResponse &answer : entry.answers) {
        CHECK(answer.status == 503);
        CHECK(answer.headers.at("Retry-After") == "1");
    }
}

// Guards against a return of all rejected callers at the same time.
TEST_CASE("rejections for want of a controller spread the return of the callers", "[relay][calls]")
{
    constexpr int heldAtMost = 2000;
    FakeEntry entry;
    entry.hasController = false;
    std::set<std::string> delays;
    for (int i = 0; i < heldAtMost + 50; ++i)
        entry.post("a" + std::to_string(i));
    REQUIRE(entry.answers.size() == 50);
    for (const HttpResponse &answer : entry.answers) {
        CHECK(answer.status == 503);
        delays.insert(answer.headers.at("Retry-After"));
    }
    CHECK(delays.size() > 1);
}

// Guards against an entry that cannot use a leader of an earlier build.
TEST_CASE("a leader that does not know stamped calls is sent unstamped ones", "[relay][calls]")
{
    FakeEntry entry;
    entry.isLeaderOlder = true;
    entry.post("a");
    REQUIRE(entry.answers.size() == 1);
    CHECK(entry.answers.front().status == 200);
    CHECK(entry.calls == std::vector<Method>{Method::Relay});
}

TEST_CASE("requests are sent unstamped while the controller's clock is not known", "[relay][calls]")
{
    FakeEntry entry;
    entry.term = 0;
    entry.post("a");
    CHECK(entry.calls == std::vector<Method>{Method::Relay});
}

// Guards against a request that an entry acts on after it stood still, when its caller has given it
// up, and may have withdrawn it elsewhere.
TEST_CASE("a request that may have waited unread for too long is not forwarded",
          "[relay][outdated]")
{
    FakeEntry entry;
    HttpRequest request;
    request.headers["Host"] = "jobs.example";
    request.headers["X-Deadline-Ms"] = "3000";
    request.method = "POST";
    request.path = "/q/0123456789abcdef";
    int status = 0;
    const HttpReply reply = [&](const HttpResponse &response) { status = response.status; };
    request.receivedNotBefore = monotonicNow() - Milliseconds(4000);
    request.sentNotBefore = request.receivedNotBefore;
    entry.relay->serveCaller(request, reply);
    CHECK(status == 503);
    entry.hasController = false;
    entry.relay->serveCaller(request, reply);
    CHECK(status == 503);
    CHECK(entry.calls.empty());
    entry.hasController = true;
    request.receivedNotBefore = monotonicNow() - Milliseconds(1000);
    entry.relay->serveCaller(request, reply);
    CHECK(status == 200);
    REQUIRE(entry.stamps.size() == 1);
    CHECK(entry.stamps[0].controllerUs == request.receivedNotBefore.time_since_epoch().count());
    CHECK(entry.stamps[0].sentUs == request.sentNotBefore.time_since_epoch().count());
}

// Guards against an order that a replica carries out after it stood still, when the operator has
// sent it elsewhere, and others after it.
TEST_CASE("an operator's order that may have waited unread for too long is not forwarded",
          "[relay][outdated]")
{
    FakeGroup group;
    group.stamp = {7, 1000};
    HttpRequest request;
    request.method = "DELETE";
    request.path = "/evacuation/zone-a";
    int status = 0;
    const HttpReply reply = [&](const HttpResponse &response) { status = response.status; };
    request.receivedNotBefore = monotonicNow() - Milliseconds(1000);
    group.member->serveControl(request, reply);
    CHECK(status == 503);
    CHECK(group.leaderCalls == 0);
    request.receivedNotBefore = monotonicNow();
    request.sentNotBefore = request.receivedNotBefore - Milliseconds(50);
    group.member->serveControl(request, reply);
    CHECK(status == 200);
    CHECK(group.leaderCalls == 1);
    CHECK(group.lastStamp.sentUs == request.sentNotBefore.time_since_epoch().count());
}
