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

/// One target in this process, and a dispatcher with a controller that only records.
struct Path
{
    explicit Path(int runMs = 0)
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
        dispatcherOptions.firstWait = Milliseconds(100);
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

    bool endsKnown(std::size_t count)
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

TEST_CASE("a started attempt's whole answer is handed on once its end is committed", "[dispatcher]")
{
    Path path(150);
    std::atomic<int> heard{0};
    std::string answer;
    path.dispatcher->listen(task, [&](const EndedAttempt &ended) {
        answer = ended.answer;
        CHECK(ended.committed);
        ++heard;
    });
    path.dispatcher->dispatch({path.order(DispatchAction::Start)});
    REQUIRE(eventually([&] { return heard == 1; }));
    CHECK(answer == "answer to: draw schedule");
    REQUIRE(path.controller.ends.size() == 1);
    CHECK(path.controller.ends[0].outcome == AttemptOutcome::Succeeded);
    CHECK(path.controller.ends[0].answerLength == answer.size());
    CHECK(path.controller.ends[0].answerDigest == answerDigest(answer));
    CHECK(path.dispatcher->counters().following == 0);
}

TEST_CASE("an order that arrives again sends no second start", "[dispatcher]")
{
    // The controller's order is resent, while the first one runs and after it has ended. A second
    // start would run a confirmation twice wherever the target had forgotten the first.
    Path path(100);
    for (int i = 0; i < 3; ++i)
        path.dispatcher->dispatch({path.order(DispatchAction::Start)});
    REQUIRE(path.endsKnown(1));
    REQUIRE(eventually([&] { return path.dispatcher->counters().following == 0; }));
    path.dispatcher->dispatch({path.order(DispatchAction::Start)});
    CHECK(path.dispatcher->counters().started == 1);
    CHECK(path.dispatcher->counters().following == 0);
    CHECK(path.starts() == 1);
}

TEST_CASE("a half or doubled answer is never passed off as whole", "[dispatcher]")
{
    // A target sends only part of an answer, or sends it twice over, under the length of the
    // whole. The caller must get the whole one later, or a failure, but never those bytes.
    const std::string broken = GENERATE("half", "twice", "wrongAttempt");
    Path path;
    path.control("{\"" + broken + "\": true}");
    path.dispatcher->dispatch({path.order(DispatchAction::Start)});
    REQUIRE(eventually([&] { return path.dispatcher->counters().targetErrors >= 1; }));
    path.control("{\"" + broken + "\": false}");
    REQUIRE(path.endsKnown(1));
    const AttemptEnd &end = path.controller.ends[0];
    if (end.outcome == AttemptOutcome::Succeeded)
        CHECK(end.answerDigest == answerDigest("answer to: draw schedule"));
    else
        CHECK(end.outcome == AttemptOutcome::Failed);
    CHECK(path.starts() == 1);
}

TEST_CASE("a target that keeps answering half ends the attempt as failed", "[dispatcher]")
{
    Path path;
    path.control(R"({"half": true})");
    path.dispatcher->dispatch({path.order(DispatchAction::Start)});
    REQUIRE(path.endsKnown(1));
    CHECK(path.controller.ends[0].outcome == AttemptOutcome::Failed);
    CHECK(path.starts() == 1);
}

TEST_CASE("an attempt that its target does not know is refused for ever before it is free",
          "[dispatcher]")
{
    // An entry is frozen between the commit of a placement and its send. Another entry asks about
    // the attempt, and the task goes elsewhere. Then the first one wakes and sends its start: the
    // target must refuse it, or the task would run in two places.
    Path path;
    path.dispatcher->dispatch({path.order(DispatchAction::Follow)});
    REQUIRE(path.endsKnown(1));
    CHECK(path.controller.ends[0].outcome == AttemptOutcome::NeverStarted);
    std::atomic<bool> refused{false};
    path.client->start(path.order(DispatchAction::Start), Milliseconds(100),
                       [&](const Result<AttemptReport> &report) {
                           refused = report && report.value().ended
                               && report.value().outcome == AttemptOutcome::NeverStarted;
                       });
    CHECK(eventually([&] { return refused.load(); }));
    CHECK(path.starts() == 0);
}

TEST_CASE("an attempt of an incarnation that is over is lost and not called never started",
          "[dispatcher]")
{
    // A target restarts while an attempt runs. Its new process knows nothing of it; were that
    // taken for "never started", a confirmation could run again.
    Path path;
    DispatchOrder order = path.order(DispatchAction::Follow);
    order.incarnation -= 1;
    path.dispatcher->dispatch({order});
    REQUIRE(path.endsKnown(1));
    CHECK(path.controller.ends[0].outcome == AttemptOutcome::Lost);
}

TEST_CASE("a start into a silent connection is asked about through a new pool", "[dispatcher]")
{
    // Something between entry and target has lost track of an open connection: bytes go in and
    // nothing ever comes back. The start did arrive. The entry must neither wait for ever nor
    // send the start again; it replaces the whole pool and asks.
    Path path;
    path.control(R"({"silent": true})");
    path.dispatcher->dispatch({path.order(DispatchAction::Start)});
    REQUIRE(eventually([&] { return path.client->poolsReplaced() >= 1; }));
    path.control(R"({"silent": false})");
    REQUIRE(path.endsKnown(1));
    CHECK(path.controller.ends[0].outcome == AttemptOutcome::Succeeded);
    CHECK(path.dispatcher->counters().started == 1);
    CHECK(path.starts() == 1);
}

TEST_CASE("a refused connection alone is not taken for never started", "[dispatcher]")
{
    // The target refuses connections for a while. A refusal does not prove that no earlier byte
    // arrived, so the task is free only when the target itself has promised.
    Path path;
    path.control(R"({"refuseMs": 600})");
    std::atomic<bool> closed{false};
    REQUIRE(eventually([&] {
        path.client->ask(path.target->address(), {TaskId{1}, 1}, 0, Milliseconds(0),
                         [&](const Result<AttemptReport> &report) {
                             closed = report.has_error()
                                 && report.error().code == ErrorCode::Unavailable;
                         });
        return closed.load();
    }));
    path.dispatcher->dispatch({path.order(DispatchAction::Start)});
    REQUIRE(path.endsKnown(1));
    CHECK(path.controller.ends[0].outcome == AttemptOutcome::NeverStarted);
    CHECK(path.dispatcher->counters().targetErrors >= 1);
    CHECK(path.starts() == 0);
}

TEST_CASE("an end is reported until it is committed and only then told", "[dispatcher]")
{
    // The controller is killed while an answer arrives. The caller must not get an answer whose
    // end was never committed, and the end must not be lost.
    Path path;
    std::atomic<int> failures{3};
    std::atomic<bool> committed{false};
    path.controller.onEnd = [&](const AttemptEnd &) -> Result<Nothing> {
        if (failures-- > 0)
            return failure(ErrorCode::Unavailable, "no controller");
        committed = true;
        return Nothing{};
    };
    std::atomic<bool> heard{false};
    path.dispatcher->listen(task, [&](const EndedAttempt &) {
        CHECK(committed);
        heard = true;
    });
    path.dispatcher->dispatch({path.order(DispatchAction::Start)});
    CHECK(eventually([&] { return heard.load(); }));
    CHECK(path.dispatcher->counters().reportRetries == 3);
}

TEST_CASE("a superseded end is told as such and reported no more", "[dispatcher]")
{
    Path path;
    path.controller.onEnd = [](const AttemptEnd &) -> Result<Nothing> {
        return failure(ErrorCode::Conflict, "another attempt is current");
    };
    std::atomic<int> heard{0};
    path.dispatcher->listen(task, [&](const EndedAttempt &ended) {
        CHECK_FALSE(ended.committed);
        ++heard;
    });
    path.dispatcher->dispatch({path.order(DispatchAction::Start)});
    CHECK(eventually([&] { return heard == 1; }));
    CHECK(path.dispatcher->counters().superseded == 1);
    CHECK(path.dispatcher->counters().following == 0);
}

TEST_CASE("a stop is asked for until the target says that the attempt is over", "[dispatcher]")
{
    // A cancelled task's target ignores the stop at first. The task is not free before the target
    // says so.
    Path path(60000);
    path.control(R"({"ignoreStop": true})");
    path.dispatcher->dispatch({path.order(DispatchAction::Start)});
    REQUIRE(eventually([&] { return path.starts() == 1; }));
    path.dispatcher->dispatch({path.order(DispatchAction::Stop)});
    path.control(R"({"ignoreStop": false})");
    REQUIRE(path.endsKnown(1));
    CHECK(path.controller.ends[0].outcome == AttemptOutcome::Stopped);
}
