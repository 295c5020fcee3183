#include <catch2/catch.hpp>

#include "controller/controllerfixture.h"

using namespace guavavalve;

TEST_CASE("a submitted job is placed with its acceptance and ends when its attempt ends",
          "[controller]")
{
    ControllerFixture cell;
    REQUIRE(cell.synchronise("e1"));
    REQUIRE(cell.announce(ControllerFixture::target("t1")));
    const auto reply = cell.submit(ControllerFixture::request("a"));
    REQUIRE(reply);
    REQUIRE(reply.value().dispatches.size() == 1);
    const DispatchOrder &order = reply.value().dispatches.front();
    CHECK(order.action == DispatchAction::Start);
    CHECK(order.payload == "gauge sequence");

    REQUIRE(cell.end(order, AttemptOutcome::Succeeded));
    const auto status = cell.awaitEnd(reply.value().job);
    REQUIRE(status);
    CHECK(status.value().tasks.front().state == TaskState::Succeeded);
}

// An entry repeats the report of an attempt's end when the reply to the first report is lost. The
// job has ended with the first; counting it again would falsify the histogram of waiting times.
TEST_CASE("a job's waiting time is recorded once, however often its end is reported",
          "[controller]")
{
    ControllerFixture cell;
    REQUIRE(cell.synchronise("e1"));
    REQUIRE(cell.announce(ControllerFixture::target("t1")));
    const auto reply = cell.submit(ControllerFixture::request("a"));
    REQUIRE(reply);
    REQUIRE(reply.value().dispatches.size() == 1);
    const DispatchOrder &order = reply.value().dispatches.front();
    REQUIRE(cell.end(order, AttemptOutcome::Succeeded));
    REQUIRE(cell.end(order, AttemptOutcome::Succeeded));
    REQUIRE(cell.awaitEnd(reply.value().job));
    CHECK(cell.observedWaits == 1);
}

TEST_CASE("a resent request joins the first job and one with another body is refused",
          "[controller]")
{
    ControllerFixture cell;
    REQUIRE(cell.synchronise("e1"));
    REQUIRE(cell.announce(ControllerFixture::target("t1")));
    const auto first = cell.submit(ControllerFixture::request("a"));
    const auto again = cell.submit(ControllerFixture::request("a"));
    REQUIRE(first);
    REQUIRE(again);
    CHECK(again.value().joined);
    CHECK(again.value().job == first.value().job);

    SubmitRequest other = ControllerFixture::request("a");
    other.digest = "another digest";
    const auto refused = cell.submit(other);
    REQUIRE(refused.has_error());
    CHECK(refused.error().code == ErrorCode::Conflict);
}

// The fleet is full, so a request waits until its start deadline passes. The caller must be told at
// once that it has not run, and it must not start later.
TEST_CASE("a job that cannot start by its deadline ends at once and has not run", "[controller]")
{
    ControllerFixture cell;
    REQUIRE(cell.synchronise("e1"));
    REQUIRE(cell.announce(ControllerFixture::target("t1")));
    SubmitRequest whole = ControllerFixture::request("a");
    whole.need = Resources{{4000, 4096, 0, 4, 4}};
    REQUIRE(cell.submit(whole));
    SubmitRequest late = ControllerFixture::request("b");
    late.startWithinMs = 50;
    const auto reply = cell.submit(late);
    REQUIRE(reply);
    CHECK(reply.value().dispatches.empty());
    const auto status = cell.awaitEnd(reply.value().job);
    REQUIRE(status);
    CHECK(status.value().finished);
    CHECK(status.value().tasks.front().state == TaskState::Failed);
    CHECK(status.value().tasks.front().refusal == ErrorCode::DeadlineExceeded);
    CHECK(status.value().tasks.front().ran == Ran::No);
}

// A target becomes unresponsive and its lease expires. Whether it has run its requests cannot be
// known. For a request that must run at most once, the caller is told "unknown", never "not run",
// and the request is not placed again. A repeatable request is placed again.
TEST_CASE("only repeatable tasks are placed again when an unresponsive target's lease expires",
          "[controller]")
{
    ControllerFixture cell;
    REQUIRE(cell.synchronise("e1"));
    REQUIRE(cell.announce(ControllerFixture::target("t1")));
    SubmitRequest once = ControllerFixture::request("once");
    once.repeatable = false;
    const auto confirmation = cell.submit(once);
    const auto recalculation = cell.submit(ControllerFixture::request("again"));
    REQUIRE(confirmation);
    REQUIRE(recalculation);

    const auto status = cell.awaitEnd(confirmation.value().job);
    REQUIRE(status);
    CHECK(status.value().tasks.front().state == TaskState::Unknown);
    CHECK(status.value().tasks.front().ran == Ran::Unknown);

    REQUIRE(cell.announce(ControllerFixture::target("t2")));
    const TaskId task = static_cast<TaskId>(idValue(recalculation.value().job));
    CHECK(ControllerFixture::waitUntil([&] {
        static_cast<void>(cell.synchronise("e1"));
        static_cast<void>(cell.announce(ControllerFixture::target("t2")));
        return cell.state.read([&](const ClusterState &cluster) {
            const TaskRecord *record = cluster.task(task);
            return record->state == TaskState::Placed && record->attempt == 2;
        });
    }));
}

// A target hangs. Its tasks must stay where they are while it still has a lease, but prompt
// requests that are still sent to it would wait until their callers give up.
TEST_CASE("an unresponsive target gets no new tasks until it announces itself again",
          "[controller]")
{
    ControllerFixture cell(600000, Milliseconds(50));
    REQUIRE(cell.synchronise("e1"));
    REQUIRE(cell.announce(ControllerFixture::target("t1")));
    JobId waiting = JobId::None;
    int sequence = 0;
    CHECK(ControllerFixture::waitUntil([&] {
        SubmitRequest request = ControllerFixture::request("r" + std::to_string(++sequence));
        request.need = Resources{{1, 1, 0, 0, 0}};
        const auto reply = cell.submit(request);
        if (reply && reply.value().dispatches.empty())
            waiting = reply.value().job;
        return waiting != JobId::None;
    }));
    CHECK(ControllerFixture::waitUntil([&] {
        static_cast<void>(cell.announce(ControllerFixture::target("t1")));
        return cell.state.read([&](const ClusterState &cluster) {
            return cluster.job(waiting)->tasks.front().state == TaskState::Placed;
        });
    }));
}

// The entry that follows a running attempt dies. The task must not be lost: another entry is told
// to follow the attempt, but never to start it.
TEST_CASE("a dead entry's attempts are followed by another entry", "[controller]")
{
    ControllerFixture cell;
    REQUIRE(cell.synchronise("e1"));
    REQUIRE(cell.announce(ControllerFixture::target("t1")));
    const auto reply = cell.submit(ControllerFixture::request("a"));
    REQUIRE(reply);
    const TaskId task = reply.value().dispatches.front().task;
    CHECK(ControllerFixture::waitUntil([&] {
        static_cast<void>(cell.synchronise("e2"));
        static_cast<void>(cell.announce(ControllerFixture::target("t1")));
        return cell.state.read(
            [&](const ClusterState &cluster) { return cluster.task(task)->dispatcher == "e2"; });
    }));
    CHECK(cell.waitForOrder("e2", [&](const DispatchOrder &order) {
        return order.task == task && order.action == DispatchAction::Follow;
    }));
}

// A controller loses leadership. It must not answer as if it still led, because an entry that
// accepted its reply would keep an outdated configuration in force.
TEST_CASE("a controller that lost leadership renews no leases and refuses requests", "[controller]")
{
    ControllerFixture cell;
    REQUIRE(cell.synchronise("e1"));
    cell.log.setLeading(false);
    const auto lease = cell.synchronise("e1");
    REQUIRE(lease.has_error());
    const auto announced = cell.announce(ControllerFixture::target("t1"));
    REQUIRE(announced.has_error());
    cell.controller.leadershipChanged(false);
    const auto refused = cell.submit(ControllerFixture::request("a"));
    REQUIRE(refused.has_error());
    CHECK(refused.error().code == ErrorCode::NotLeader);
}

// A controller is killed under load. Its successor accepts requests before any entry has sent it a
// heartbeat. If it placed them without an entry to start them, they would hold their slots forever
// and callers would hang until every slot of the fleet was taken.
TEST_CASE("a placement made before any heartbeat of an entry is started or given to another entry",
          "[controller]")
{
    ControllerFixture cell;
    REQUIRE(cell.announce(ControllerFixture::target("t1")));
    const auto reply = cell.submit(ControllerFixture::request("a"));
    REQUIRE(reply);
    REQUIRE(reply.value().dispatches.size() == 1);
    CHECK(reply.value().dispatches.front().action == DispatchAction::Start);

    // The submitting entry never sends a heartbeat.
    const TaskId task = reply.value().dispatches.front().task;
    CHECK(ControllerFixture::waitUntil([&] {
        static_cast<void>(cell.synchronise("e2"));
        static_cast<void>(cell.announce(ControllerFixture::target("t1")));
        return cell.state.read(
            [&](const ClusterState &cluster) { return cluster.task(task)->dispatcher == "e2"; });
    }));
}

TEST_CASE("a job that has not finished by its deadline is stopped", "[controller]")
{
    ControllerFixture cell;
    REQUIRE(cell.synchronise("e1"));
    REQUIRE(cell.announce(ControllerFixture::target("t1")));
    SubmitRequest request = ControllerFixture::request("a");
    request.finishWithinMs = 50;
    const auto reply = cell.submit(request);
    REQUIRE(reply);
    const DispatchOrder order = reply.value().dispatches.front();
    CHECK(cell.waitForOrder("e1", [&](const DispatchOrder &sent) {
        return sent.task == order.task && sent.action == DispatchAction::Stop;
    }));
}

TEST_CASE("cancelling ends a waiting job at once and stops a running one", "[controller]")
{
    ControllerFixture cell;
    REQUIRE(cell.synchronise("e1"));
    const auto cancel = [&](JobId job) {
        return cell.await<JobStatus>([&](Done<JobStatus> done) {
            cell.controller.cancelJob("mills", job, std::move(done));
        });
    };
    REQUIRE(cell.announce(ControllerFixture::target("t1")));
    SubmitRequest whole = ControllerFixture::request("a");
    whole.need = Resources{{4000, 4096, 0, 4, 4}};
    const auto running = cell.submit(whole);
    const auto waiting = cell.submit(ControllerFixture::request("b"));
    REQUIRE(running);
    REQUIRE(waiting);
    const auto cancelled = cancel(waiting.value().job);
    REQUIRE(cancelled);
    CHECK(cancelled.value().finished);
    CHECK(cancelled.value().tasks.front().state == TaskState::Cancelled);

    REQUIRE(cancel(running.value().job));
    const DispatchOrder order = running.value().dispatches.front();
    CHECK(cell.waitForOrder("e1", [&](const DispatchOrder &sent) {
        return sent.task == order.task && sent.action == DispatchAction::Stop;
    }));
    REQUIRE(cell.end(order, AttemptOutcome::Stopped));
    const auto status = cell.awaitEnd(running.value().job);
    REQUIRE(status);
    CHECK(status.value().tasks.front().state == TaskState::Cancelled);
}

TEST_CASE("a job of more tasks than the cell allows is refused before any is queued",
          "[controller]")
{
    ControllerFixture cell;
    REQUIRE(cell.synchronise("e1"));
    REQUIRE(cell.announce(ControllerFixture::target("t1")));
    for (const std::uint32_t tasks : {std::uint32_t{0}, std::uint32_t{4000000000}}) {
        SubmitRequest request = ControllerFixture::request("tasks" + std::to_string(tasks));
        request.tasks = tasks;
        const auto refused = cell.submit(request);
        REQUIRE(refused.has_error());
        CHECK(refused.error().code == ErrorCode::InvalidArgument);
        CHECK(refused.error().ran == Ran::No);
    }
    CHECK(cell.submit(ControllerFixture::request("a")));
}

TEST_CASE("the tasks of a gang are placed together or not at all", "[controller]")
{
    ControllerFixture cell;
    REQUIRE(cell.synchronise("e1"));
    REQUIRE(cell.announce(ControllerFixture::target("t1")));
    SubmitRequest gang = ControllerFixture::request("a");
    gang.workClass = WorkClass::Gang;
    gang.tasks = 6;
    const auto reply = cell.submit(gang);
    if (reply)
        CHECK(reply.value().dispatches.empty());
    REQUIRE(cell.announce(ControllerFixture::target("t2")));
    const auto again = cell.submit(gang);
    REQUIRE(again);
    CHECK(ControllerFixture::waitUntil([&] {
        return cell.state.read([&](const ClusterState &cluster) {
            const JobRecord *job = cluster.job(again.value().job);
            return job != nullptr && job->tasks.front().state == TaskState::Placed
                && job->tasks.back().state == TaskState::Placed;
        });
    }));
}
