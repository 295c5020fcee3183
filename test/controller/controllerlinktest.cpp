#include <catch2/catch.hpp>

#include "controller/controllerlink.h"

#include <map>
#include <set>
#include <string>
#include <utility>

using namespace guavavalve;

namespace {

/// Replicas "a", "b" and "c" on a virtual clock. One answers calls only if it leads, and says whom
/// it follows; a frozen one says nothing.
class LinkFixture : public Messenger
{
public:
    LinkFixture()
        : link(std::make_shared<ControllerLink>(
            *this, std::vector<std::string>{"a", "b", "c"},
            [this](Milliseconds delay, std::function<void()> action) {
                this->after(delay, std::move(action));
            },
            ControllerLink::Limits{Milliseconds(400), Milliseconds(40), Milliseconds(80)},
            [this] { return this->now; }))
    {}

    void handle(Method, Handler) override {}
    void call(const std::string &address, Method method, std::string, Instant deadline,
              Done<std::string> done) override
    {
        if (this->frozen.count(address) != 0) {
            this->after(std::chrono::duration_cast<Milliseconds>(deadline - this->now),
                        [done = std::move(done)] {
                            Error late = failure(ErrorCode::DeadlineExceeded, "no reply");
                            late.ran = Ran::Unknown;
                            done(late);
                        });
            return;
        }
        auto answer = [this, address, method, done = std::move(done)] {
            if (method == Method::FindLeader) {
                ++this->questions;
                done(this->leader);
            } else if (address == this->leader) {
                ++this->served[address];
                done(std::string("by " + address));
            } else {
                done(failure(ErrorCode::NotLeader, this->leader));
            }
        };
        if (this->latency.count() == 0)
            answer();
        else
            this->after(this->latency, std::move(answer));
    }

    void after(Milliseconds delay, std::function<void()> action)
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
    /// Calls the controller; what it was answered stands in `answers`.
    void ask(Milliseconds limit = Milliseconds(2000))
    {
        this->link->call(Method::Relay, "question", this->now + limit,
                         [this](const Result<std::string> &answer) {
                             this->answers.push_back(answer ? answer.value() : "error");
                         });
    }

    Instant now{std::chrono::seconds(100)};
    Milliseconds latency{1}; ///< zero: answered before the call returns
    std::multimap<Instant, std::function<void()>> due;
    std::set<std::string> frozen;
    std::string leader = "a";
    std::map<std::string, int> served;
    int questions = 0;
    std::vector<std::string> answers;
    std::shared_ptr<ControllerLink> link;
};

} // namespace

// The controller's process is frozen. The replicas have another within 0.6 s; callers at an
// instance that had a call under way there waited until it was given up, 0.26 to 0.6 s longer.
TEST_CASE_METHOD(LinkFixture, "a call leaves a silent controller once another leads", "[link]")
{
    this->ask();
    this->runFor(Milliseconds(10));
    REQUIRE(this->answers.size() == 1);
    this->frozen.insert("a");
    this->ask();
    this->runFor(Milliseconds(150));
    CHECK(this->answers.size() == 1); // nobody else leads yet
    this->leader = "b";
    this->runFor(Milliseconds(90)); // the next question, and its answer
    REQUIRE(this->answers.size() == 2);
    CHECK(this->answers.back() == "by b");
    this->runFor(Milliseconds(1000)); // the first try ends, and changes nothing
    CHECK(this->answers.size() == 2);
    CHECK(this->link->controllerAddress() == "b");
}

// Commits are slow for a while. The controller is asked on, and once only: another that is told of
// the same call has twice the work when everything is slow already.
TEST_CASE_METHOD(LinkFixture, "a slow controller that still leads keeps its calls", "[link]")
{
    this->ask();
    this->runFor(Milliseconds(10));
    this->latency = Milliseconds(300);
    this->ask();
    this->runFor(Milliseconds(350));
    CHECK(this->answers.size() == 2);
    CHECK(this->served["a"] == 2);
}

TEST_CASE_METHOD(LinkFixture, "nobody is asked who leads while calls are answered in time",
                 "[link]")
{
    for (int i = 0; i < 50; ++i) {
        this->ask();
        this->runFor(Milliseconds(5));
    }
    this->runFor(Milliseconds(1000));
    CHECK(this->answers.size() == 50);
    CHECK(this->questions == 0);
}

// Nobody leads at all until the deadline: what may have arrived at the silent controller is not
// said to have never run.
TEST_CASE_METHOD(LinkFixture, "a call that nobody answers ends once, by its deadline", "[link]")
{
    this->ask();
    this->runFor(Milliseconds(10));
    this->frozen = {"a", "b", "c"};
    this->ask(Milliseconds(900));
    this->runFor(Milliseconds(3000));
    REQUIRE(this->answers.size() == 2);
    CHECK(this->answers.back() == "error");
}

// An answer comes on the messenger's thread before the caller's has noted that the call is under
// way. The call was kept for ever as one without an answer, and the replicas were asked for ever.
TEST_CASE_METHOD(LinkFixture, "a call that is answered at once is not doubted later", "[link]")
{
    this->latency = Milliseconds(0);
    this->ask();
    REQUIRE(this->answers.size() == 1);
    this->latency = Milliseconds(300);
    this->ask();
    this->runFor(Milliseconds(700));
    REQUIRE(this->answers.size() == 2);
    const int asked = this->questions;
    CHECK(asked > 0);
    this->runFor(Milliseconds(2000));
    CHECK(this->questions == asked);
}
