#include <catch2/catch.hpp>

#include "controller/controllerlink.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

using namespace guavavalve;

namespace {

/// Replicas "a", "b" and "c" on a virtual clock. Each serves calls only if it leads, and reports
/// its leader; a frozen one does not respond.
class LinkFixture : public Messenger
{
public:
    LinkFixture()
        : link(std::make_shared<ControllerLink>(
            *this, std::vector<std::string>{"a", "b", "c"},
            [this](Milliseconds delay, std::function<void()> action) {
                this->runAfter(delay, std::move(action));
            },
            ControllerLink::Limits{Milliseconds(400), Milliseconds(40), Milliseconds(80)},
            [this] { return this->now; }))
    {}

    void handle(Method, Handler) override {}
    void call(const std::string &address, Method method, std::string, Instant deadline,
              Done<std::string> done) override
    {
        if (method != Method::FindLeader)
            ++this->sent[address];
        if (this->frozenAt.count(address) != 0) {
            this->runAfter(std::chrono::duration_cast<Milliseconds>(deadline - this->now),
                           [done = std::move(done)] {
                               Error late = failure(ErrorCode::DeadlineExceeded, "no reply");
                               late.ran = Ran::Unknown;
                               done(late);
                           });
            return;
        }
        if (this->now + this->latencyOf(address) > deadline) {
            this->runAfter(std::chrono::duration_cast<Milliseconds>(deadline - this->now),
                           [done = std::move(done)] {
                               Error late = failure(ErrorCode::DeadlineExceeded, "no reply");
                               late.ran = Ran::Unknown;
                               done(late);
                           });
            return;
        }
        auto answer = [this, address, method, connection = this->connections[address],
                       done = std::move(done)] {
            if (method == Method::FindLeader) {
                ++this->leaderQueries;
                done(this->named.count(address) != 0 ? this->named[address] : this->leader);
            } else if (connection != this->connections[address]) {
                ++this->lost[address];
                Error lost = failure(ErrorCode::Unavailable, "the connection was lost");
                lost.ran = Ran::Unknown;
                done(lost);
            } else if (this->refusals[address] > 0) {
                --this->refusals[address];
                done(failure(ErrorCode::Unavailable, "the replica's queue is full"));
            } else if (address == this->leader) {
                ++this->served[address];
                done(std::string("by " + address));
            } else {
                done(failure(ErrorCode::NotLeader, this->leader));
            }
        };
        if (this->latencyOf(address).count() == 0)
            answer();
        else
            this->runAfter(this->latencyOf(address), std::move(answer));
    }

    /// Heartbeats arrive all the time from replicas that are not frozen.
    std::optional<Instant> lastHeard(const std::string &address) const override
    {
        if (this->gone.count(address) != 0)
            return std::nullopt;
        const auto stopped = this->frozenAt.find(address);
        return stopped == this->frozenAt.end() ? this->now : stopped->second;
    }
    void freeze(const std::string &address) { this->frozenAt.emplace(address, this->now); }
    Milliseconds latencyOf(const std::string &address) const
    {
        const auto found = this->latencies.find(address);
        return found == this->latencies.end() ? this->latency : found->second;
    }

    void runAfter(Milliseconds delay, std::function<void()> action)
    {
        this->due.emplace(this->now + delay, std::move(action));
    }
    void runFor(Milliseconds span)
    {
        const Instant end = this->now + span;
        while (!this->due.empty() && this->due.begin()->first <= end) {
            this->now = this->due.begin()->first;
            const auto action = std::move(this->due.begin()->second);
            this->due.erase(this->due.begin());
            action();
        }
        this->now = end;
    }
    /// Calls the controller and appends the reply to `answers`.
    void callController(Milliseconds limit = Milliseconds(2000))
    {
        this->link->call(Method::Relay, "payload", this->now + limit,
                         [this](const Result<std::string> &answer) {
                             this->answers.push_back(answer ? answer.value() : "error");
                             if (!answer)
                                 this->lastError = answer.error();
                         });
    }

    Instant now{std::chrono::seconds(100)};
    Milliseconds latency{1}; ///< zero: the reply arrives before the call returns
    std::multimap<Instant, std::function<void()>> due;
    std::map<std::string, Instant> frozenAt; ///< replicas that do not respond, since when
    std::map<std::string, Milliseconds> latencies; ///< where it is another than `latency`
    std::set<std::string> gone; ///< replicas without a connection
    std::map<std::string, int> refusals; ///< calls that are yet refused as unavailable
    std::map<std::string, int> connections; ///< a change means that the connection was lost
    std::map<std::string, int> lost; ///< calls whose connection was lost
    std::map<std::string, std::string> named; ///< the leader that a replica names, if another one
    std::map<std::string, int> sent; ///< calls, by address
    std::string leader = "a";
    std::map<std::string, int> served;
    int leaderQueries = 0;
    std::vector<std::string> answers;
    Error lastError;
    std::shared_ptr<ControllerLink> link;
};

} // namespace

// The controller's process is suspended, and the replicas elect another within 0.6 s. A call that
// is in flight to the suspended one must not wait for its attempt's timeout, which would take 0.26
// to 0.6 s longer.
TEST_CASE_METHOD(LinkFixture, "a call to an unresponsive controller moves to the new leader",
                 "[link]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    REQUIRE(this->answers.size() == 1);
    this->freeze("a");
    this->callController();
    this->runFor(Milliseconds(150));
    CHECK(this->answers.size() == 1); // no other replica leads yet
    this->leader = "b";
    this->runFor(Milliseconds(90)); // the next query for the leader, and its reply
    REQUIRE(this->answers.size() == 2);
    CHECK(this->answers.back() == "by b");
    this->runFor(Milliseconds(1000)); // the first attempt times out, which changes nothing
    CHECK(this->answers.size() == 2);
    CHECK(this->link->controllerAddress() == "b");
}

// Commits are slow for a while. A call must stay with the controller and be sent only once: a
// second attempt would double the load while everything is slow already.
TEST_CASE_METHOD(LinkFixture, "a call to a slow controller that still leads is not sent again",
                 "[link]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    this->latency = Milliseconds(300);
    this->callController();
    this->runFor(Milliseconds(350));
    CHECK(this->answers.size() == 2);
    CHECK(this->served["a"] == 2);
}

TEST_CASE_METHOD(LinkFixture, "replicas are not asked who leads while calls are answered in time",
                 "[link]")
{
    for (int i = 0; i < 50; ++i) {
        this->callController();
        this->runFor(Milliseconds(5));
    }
    this->runFor(Milliseconds(1000));
    CHECK(this->answers.size() == 50);
    CHECK(this->leaderQueries == 0);
}

// Guards against answered calls that keep their requests in memory until their timers expire: many
// large ones in a row add up.
TEST_CASE_METHOD(LinkFixture, "an answered call keeps nothing that its callback holds", "[link]")
{
    const auto request = std::make_shared<int>();
    this->link->call(Method::Relay, {}, this->now + Milliseconds(2000),
                     [request](const Result<std::string> &reply) { CHECK(reply); });
    this->runFor(Milliseconds(20)); // shorter than any timer of the call
    CHECK(request.use_count() == 1);
}

// No replica leads until the deadline. The call must fail once, and not as one that never ran,
// because the unresponsive controller may have received it.
TEST_CASE_METHOD(LinkFixture, "a call that no replica answers ends once, by its deadline", "[link]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    for (const char *replica : {"a", "b", "c"})
        this->freeze(replica);
    this->callController(Milliseconds(900));
    this->runFor(Milliseconds(3000));
    REQUIRE(this->answers.size() == 2);
    CHECK(this->answers.back() == "error");
}

// A reply arrives on the messenger's thread before the caller's thread has recorded that the call
// is in flight. The call must not be recorded after that, or it would count as unanswered and the
// replicas would be asked who leads forever.
TEST_CASE_METHOD(LinkFixture, "a call that is answered at once does not count as unanswered later",
                 "[link]")
{
    this->latency = Milliseconds(0);
    this->callController();
    REQUIRE(this->answers.size() == 1);
    this->latency = Milliseconds(300);
    this->callController();
    this->runFor(Milliseconds(700));
    REQUIRE(this->answers.size() == 2);
    const int queriesBefore = this->leaderQueries;
    CHECK(queriesBefore > 0);
    this->runFor(Milliseconds(2000));
    CHECK(this->leaderQueries == queriesBefore);
}

// Guards against repeated attempts, which double the load of a controller under three times its
// load: it answers after more than a second, but lives.
TEST_CASE_METHOD(LinkFixture, "a call is sent once to a controller that is slow but heard",
                 "[link][calls]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    this->latency = Milliseconds(1300);
    this->callController();
    this->runFor(Milliseconds(1400));
    REQUIRE(this->answers.size() == 2);
    CHECK(this->answers.back() == "by a");
    CHECK(this->sent["a"] == 2);
    CHECK(this->sent["b"] + this->sent["c"] == 0);
}

// Guards against calls that wait until their deadline for a reply on a connection that is gone.
TEST_CASE_METHOD(LinkFixture, "a call is sent again when its connection was lost", "[link][calls]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    this->latency = Milliseconds(100);
    this->callController();
    this->runFor(Milliseconds(10));
    ++this->connections["a"];
    this->runFor(Milliseconds(1000));
    REQUIRE(this->answers.size() == 2);
    CHECK(this->answers.back() == "by a");
    CHECK(this->sent["a"] == 3);
}

// Guards against a malformed call that ends each controller that reads it: it was handed from one
// to the next until none was left.
TEST_CASE_METHOD(LinkFixture, "a call whose readers were lost is handed to one other replica only",
                 "[link][calls]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    this->latency = Milliseconds(100);
    const std::vector<std::string> leaders{"a", "b", "c"};
    this->callController();
    for (const std::string &reader : leaders) {
        this->leader = reader;
        for (int i = 0; i < 50 && this->sent[reader] == 0; ++i)
            this->runFor(Milliseconds(10));
        this->runFor(Milliseconds(50));
        ++this->connections[reader]; // the reader ends before it answers
        this->gone.insert(reader);
        this->runFor(Milliseconds(60));
    }
    this->runFor(Milliseconds(200));
    CHECK(this->lost["a"] == 1);
    CHECK(this->lost["b"] == 1);
    CHECK(this->lost["c"] == 0);
    REQUIRE(this->answers.size() == 2);
    CHECK(this->answers.back() == "error");
    CHECK(this->lastError.ran == Ran::Unknown);
    this->gone.clear();
    this->callController();
    this->runFor(Milliseconds(1000));
    CHECK(this->answers.back() == "by c"); // other calls are not affected
}

// Guards against a replica that lags behind and names an earlier leader: the call returns to the
// controller that has it already, without a second attempt.
TEST_CASE_METHOD(LinkFixture, "a wrongly named leader causes no second attempt at the controller",
                 "[link][calls]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    this->latencies["a"] = Milliseconds(600);
    this->named["c"] = "b";
    this->callController();
    this->runFor(Milliseconds(2000));
    REQUIRE(this->answers.size() == 2);
    CHECK(this->answers.back() == "by a");
    CHECK(this->sent["a"] == 2);
    CHECK(this->sent["b"] == 1);
}

// Guards against calls that stay with a controller that is cut off while no replica names another.
TEST_CASE_METHOD(LinkFixture, "a call leaves a silent controller after the attempt's timeout",
                 "[link][calls]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    this->freeze("a");
    this->leader.clear();
    this->callController();
    this->runFor(Milliseconds(490));
    CHECK(this->sent["b"] + this->sent["c"] > 0);
    CHECK(this->sent["a"] == 2);
}

// Guards against entries that reject every caller because answers to presence reports are late.
TEST_CASE_METHOD(LinkFixture, "a controller that is heard but answers late counts as in contact",
                 "[link][calls]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    this->latency = Milliseconds(5000);
    for (int i = 0; i < 5; ++i) {
        this->callController(Milliseconds(400)); // a presence report
        this->runFor(Milliseconds(800));
    }
    CHECK(this->now - this->link->lastContact() < Milliseconds(500));
    CHECK(this->link->controllerAddress() == "a");
}

// Guards against a replica that has lost its quorum: its frames arrive, but it does not lead.
TEST_CASE_METHOD(LinkFixture, "frames of a replica that denies to lead are no contact",
                 "[link][calls]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    this->leader.clear();
    for (int i = 0; i < 3; ++i) {
        this->callController(Milliseconds(400));
        this->runFor(Milliseconds(800));
    }
    CHECK(this->now - this->link->lastContact() > Milliseconds(2000));
}

TEST_CASE_METHOD(LinkFixture, "a frozen controller is not in contact", "[link][calls]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    this->freeze("a");
    this->callController(Milliseconds(400));
    this->runFor(Milliseconds(1600));
    CHECK(this->now - this->link->lastContact() > Milliseconds(1500));
}

// Guards against a controller that counts as lost because a queue was full for a moment.
TEST_CASE_METHOD(LinkFixture, "a controller that refuses a call for the moment is kept",
                 "[link][calls]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    this->refusals["a"] = 1;
    this->callController();
    this->runFor(Milliseconds(10));
    for (int i = 0; i < 20; ++i)
        this->callController();
    CHECK(this->link->controllerAddress() == "a");
    CHECK(this->now - this->link->lastContact() < Milliseconds(100));
    this->runFor(Milliseconds(1000));
    CHECK(this->served["a"] == 22);
    CHECK(this->sent["b"] + this->sent["c"] == 0);
    CHECK(this->leaderQueries == 0);
}

// Guards against calls that stay with a replica that refuses them while another one leads.
TEST_CASE_METHOD(LinkFixture, "a call leaves a refusing replica once another leader is named",
                 "[link][calls]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    this->refusals["a"] = 1000;
    this->named["b"] = "b";
    this->named["c"] = "b";
    this->named["a"] = "a";
    this->leader = "b";
    this->callController();
    this->runFor(Milliseconds(300));
    REQUIRE(this->answers.size() == 2);
    CHECK(this->answers.back() == "by b");
}

// Guards against a call that shuttles between the controller and one that a replica wrongly names.
TEST_CASE_METHOD(LinkFixture, "a replica that denied to lead is not asked again on the same word",
                 "[link][calls]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    this->latencies["a"] = Milliseconds(1300);
    this->named["c"] = "b";
    this->callController();
    this->runFor(Milliseconds(1600));
    REQUIRE(this->answers.size() == 2);
    CHECK(this->answers.back() == "by a");
    CHECK(this->sent["b"] == 1);
}

// Guards against calls that wait for a controller whose process has ended, since it was heard of a
// moment ago.
TEST_CASE_METHOD(LinkFixture, "a controller whose connection is gone is left at once",
                 "[link][calls]")
{
    this->callController();
    this->runFor(Milliseconds(10));
    this->gone.insert("a");
    this->refusals["a"] = 1000; // connections are refused
    this->leader = "b";
    this->callController();
    this->runFor(Milliseconds(150));
    REQUIRE(this->answers.size() == 2);
    CHECK(this->answers.back() == "by b");
}
