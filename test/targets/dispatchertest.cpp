#include <catch2/catch.hpp>

#include "fakes/eventually.h"
#include "fakes/fakecontroller.h"
#include "fakes/temporaryfile.h"
#include "runtime/timerqueue.h"
#include "standin/standintarget.h"
#include "targets/dispatcher.h"
#include "targets/httptargetclient.h"
#include "targets/targetcontract.h"

#include <algorithm>
#include <atomic>

using namespace guavavalve;
using fakes::eventually;

namespace {

constexpr TaskId task{7};

/// A target in this process, and a dispatcher whose controller only records what it is sent.
struct DispatchFixture
{
    explicit DispatchFixture(int runMs = 0)
    {
        standin::StandInOptions options;
        options.runMs = runMs;
        options.ledgerPath = this->ledger.path;
        this->target = std::make_unique<standin::StandInTarget>(this->timers, options);
        REQUIRE(this->target->start());
        HttpTargetClientOptions clientOptions;
        clientOptions.replySlack = Milliseconds(300);
        this->client = std::make_unique<HttpTargetClient>(this->timers, clientOptions);
        DispatcherOptions dispatcherOptions;
        dispatcherOptions.initialWait = Milliseconds(100);
        this->dispatcher = std::make_unique<Dispatcher>(this->controller, *this->client,
                                                        this->timers, dispatcherOptions);
    }

    DispatchOrder order(DispatchAction action, AttemptNumber attempt = 1) const
    {
        DispatchOrder order;
        order.action = action;
        order.task = task;
        order.job = JobId{idValue(task)};
        order.attempt = attempt;
        order.incarnation = this->target->incarnation();
        order.targetAddress = this->target->address();
        order.payload = "draw schedule";
        return order;
    }

    void control(const std::string &json) const { REQUIRE(this->target->control(json)); }

    bool waitForEnds(std::size_t count)
    {
        return this->controller.waitUntil([&] { return this->controller.ends.size() >= count; });
    }

    std::size_t starts() const
    {
        const std::string lines = this->ledger.content();
        return static_cast<std::size_t>(std::count(lines.begin(), lines.end(), '\n'));
    }

    fakes::TemporaryFile ledger;
    fakes::FakeController controller;
    TimerQueue timers;
    std::unique_ptr<standin::StandInTarget> target;
    std::unique_ptr<HttpTargetClient> client;
    std::unique_ptr<Dispatcher> dispatcher;
};

} // namespace

TEST_CASE("a listener gets the complete answer of an attempt once its end is committed",
          "[dispatcher]")
{
    DispatchFixture fixture(150);
    std::atomic<int> heard{0};
    std::string answer;
    fixture.dispatcher->listen(task, [&](const EndedAttempt &ended) {
        answer = ended.answer;
        CHECK(ended.committed);
        ++heard;
    });
    fixture.dispatcher->dispatch({fixture.order(DispatchAction::Start)});
    REQUIRE(eventually([&] { return heard == 1; }));
    CHECK(answer == "answer to: draw schedule");
    REQUIRE(fixture.controller.ends.size() == 1);
    CHECK(fixture.controller.ends[0].outcome == AttemptOutcome::Succeeded);
    CHECK(fixture.controller.ends[0].answerLength == answer.size());
    CHECK(fixture.controller.ends[0].answerDigest == answerDigest(answer));
    CHECK(fixture.dispatcher->counters().following == 0);
}

TEST_CASE("a resent order sends no second start", "[dispatcher]")
{
    // The controller resends an order while the attempt is running and after it has ended. A second
    // start would run the task twice if the target no longer knows the first one.
    DispatchFixture fixture(100);
    for (int i = 0; i < 3; ++i)
        fixture.dispatcher->dispatch({fixture.order(DispatchAction::Start)});
    REQUIRE(fixture.waitForEnds(1));
    REQUIRE(eventually([&] { return fixture.dispatcher->counters().following == 0; }));
    fixture.dispatcher->dispatch({fixture.order(DispatchAction::Start)});
    CHECK(fixture.dispatcher->counters().started == 1);
    CHECK(fixture.dispatcher->counters().following == 0);
    CHECK(fixture.starts() == 1);
}

TEST_CASE("a truncated, duplicated or mismatched answer is never accepted as complete",
          "[dispatcher]")
{
    // A target sends only half of an answer, or sends it twice, under the length of the complete
    // one, or replies for another attempt. The caller must get the complete answer later or a
    // failure, but never those bytes.
    const std::string broken = GENERATE("half", "twice", "wrongAttempt");
    DispatchFixture fixture;
    fixture.control("{\"" + broken + "\": true}");
    fixture.dispatcher->dispatch({fixture.order(DispatchAction::Start)});
    REQUIRE(eventually([&] { return fixture.dispatcher->counters().targetErrors >= 1; }));
    fixture.control("{\"" + broken + "\": false}");
    REQUIRE(fixture.waitForEnds(1));
    const AttemptEnd &end = fixture.controller.ends[0];
    if (end.outcome == AttemptOutcome::Succeeded)
        CHECK(end.answerDigest == answerDigest("answer to: draw schedule"));
    else
        CHECK(end.outcome == AttemptOutcome::Failed);
    CHECK(fixture.starts() == 1);
}

TEST_CASE("an attempt whose target keeps sending truncated answers ends as failed", "[dispatcher]")
{
    DispatchFixture fixture;
    fixture.control(R"({"half": true})");
    fixture.dispatcher->dispatch({fixture.order(DispatchAction::Start)});
    REQUIRE(fixture.waitForEnds(1));
    CHECK(fixture.controller.ends[0].outcome == AttemptOutcome::Failed);
    CHECK(fixture.starts() == 1);
}

TEST_CASE(
    "an attempt unknown to its target is reported only after the target refuses it permanently",
    "[dispatcher]")
{
    // An entry is suspended after a placement has been committed and before it sends the start.
    // Another entry queries the attempt, and the task is placed elsewhere. Then the first entry
    // resumes and sends its start: the target must refuse it, or the task would run twice.
    DispatchFixture fixture;
    fixture.dispatcher->dispatch({fixture.order(DispatchAction::Follow)});
    REQUIRE(fixture.waitForEnds(1));
    CHECK(fixture.controller.ends[0].outcome == AttemptOutcome::NeverStarted);
    std::atomic<bool> refused{false};
    fixture.client->start(fixture.order(DispatchAction::Start), Milliseconds(100),
                          [&](const Result<AttemptReport> &report) {
                              refused = report && report.value().ended
                                  && report.value().outcome == AttemptOutcome::NeverStarted;
                          });
    CHECK(eventually([&] { return refused.load(); }));
    CHECK(fixture.starts() == 0);
}

TEST_CASE("an attempt of an earlier incarnation is reported as lost, not as never started",
          "[dispatcher]")
{
    // A target restarts while an attempt is running, and its new process does not know the attempt.
    // If that counted as "never started", the task could run twice.
    DispatchFixture fixture;
    DispatchOrder order = fixture.order(DispatchAction::Follow);
    order.incarnation -= 1;
    fixture.dispatcher->dispatch({order});
    REQUIRE(fixture.waitForEnds(1));
    CHECK(fixture.controller.ends[0].outcome == AttemptOutcome::Lost);
}

TEST_CASE("after a start on an unresponsive connection, the attempt is queried through a new pool",
          "[dispatcher]")
{
    // A device between entry and target has lost the state of an open connection: nothing that is
    // sent is ever answered, although the start did arrive. The entry must neither wait forever nor
    // resend the start; it replaces the whole pool and queries the attempt.
    DispatchFixture fixture;
    fixture.control(R"({"silent": true})");
    fixture.dispatcher->dispatch({fixture.order(DispatchAction::Start)});
    REQUIRE(eventually([&] { return fixture.client->poolsReplaced() >= 1; }));
    fixture.control(R"({"silent": false})");
    REQUIRE(fixture.waitForEnds(1));
    CHECK(fixture.controller.ends[0].outcome == AttemptOutcome::Succeeded);
    CHECK(fixture.dispatcher->counters().started == 1);
    CHECK(fixture.starts() == 1);
}

TEST_CASE("a refused connection alone does not count as never started", "[dispatcher]")
{
    // The target refuses connections for a while. That does not prove that nothing sent earlier
    // arrived, so the task may be placed again only once the target has promised not to start it.
    DispatchFixture fixture;
    fixture.control(R"({"refuseMs": 600})");
    std::atomic<bool> closed{false};
    REQUIRE(eventually([&] {
        fixture.client->query(fixture.target->address(), {TaskId{1}, 1}, 0, Milliseconds(0),
                              [&](const Result<AttemptReport> &report) {
                                  closed = report.has_error()
                                      && report.error().code == ErrorCode::Unavailable;
                              });
        return closed.load();
    }));
    fixture.dispatcher->dispatch({fixture.order(DispatchAction::Start)});
    REQUIRE(fixture.waitForEnds(1));
    CHECK(fixture.controller.ends[0].outcome == AttemptOutcome::NeverStarted);
    CHECK(fixture.dispatcher->counters().targetErrors >= 1);
    CHECK(fixture.starts() == 0);
}

TEST_CASE("an end is reported until it is committed, and only then passed to listeners",
          "[dispatcher]")
{
    // The controller fails while an answer arrives. The caller must not get an answer whose end was
    // never committed, and the end must not be lost.
    DispatchFixture fixture;
    std::atomic<int> failures{3};
    std::atomic<bool> committed{false};
    fixture.controller.onEnd = [&](const AttemptEnd &) -> Result<Nothing> {
        if (failures-- > 0)
            return failure(ErrorCode::Unavailable, "no controller");
        committed = true;
        return Nothing{};
    };
    std::atomic<bool> heard{false};
    fixture.dispatcher->listen(task, [&](const EndedAttempt &) {
        CHECK(committed);
        heard = true;
    });
    fixture.dispatcher->dispatch({fixture.order(DispatchAction::Start)});
    CHECK(eventually([&] { return heard.load(); }));
    CHECK(fixture.dispatcher->counters().reportRetries == 3);
}

TEST_CASE("a superseded end is passed on as not committed and not reported again", "[dispatcher]")
{
    DispatchFixture fixture;
    fixture.controller.onEnd = [](const AttemptEnd &) -> Result<Nothing> {
        return failure(ErrorCode::Conflict, "another attempt is current");
    };
    std::atomic<int> heard{0};
    fixture.dispatcher->listen(task, [&](const EndedAttempt &ended) {
        CHECK_FALSE(ended.committed);
        ++heard;
    });
    fixture.dispatcher->dispatch({fixture.order(DispatchAction::Start)});
    CHECK(eventually([&] { return heard == 1; }));
    CHECK(fixture.dispatcher->counters().superseded == 1);
    CHECK(fixture.dispatcher->counters().following == 0);
}

TEST_CASE("a stop is repeated until the target reports that the attempt has ended", "[dispatcher]")
{
    // The target ignores the stop of a cancelled task at first. The attempt must not count as ended
    // before the target reports it.
    DispatchFixture fixture(60000);
    fixture.control(R"({"ignoreStop": true})");
    fixture.dispatcher->dispatch({fixture.order(DispatchAction::Start)});
    REQUIRE(eventually([&] { return fixture.starts() == 1; }));
    fixture.dispatcher->dispatch({fixture.order(DispatchAction::Stop)});
    fixture.control(R"({"ignoreStop": false})");
    REQUIRE(fixture.waitForEnds(1));
    CHECK(fixture.controller.ends[0].outcome == AttemptOutcome::Stopped);
}
