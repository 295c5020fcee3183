#include <catch2/catch.hpp>

#include "smallcell.h"

using namespace guavavalve;
using namespace guavavalve::testing;

namespace {

ErrorCode refusal(SmallCell &cell, const TaskRequest &request)
{
    const Result<void> result = cell.scheduler.submit(request, cell.now);
    REQUIRE(result.has_error());
    CHECK(result.error().ran == Ran::No);
    return result.error().code;
}

} // namespace

// A request exceeds the size of every target. It must be refused immediately, not after a timeout.
TEST_CASE("a job that fits on no announced target is refused at submission", "[queues]")
{
    SmallCell cell(3, 1);
    CHECK(refusal(cell, cell.task(1, WorkClass::Batch, 9000)) == ErrorCode::NeverFits);
    TaskRequest gang = cell.task(1, WorkClass::Gang, 5000);
    gang.jobTasks = 4;
    CHECK(refusal(cell, gang) == ErrorCode::NeverFits);
    CHECK(refusal(cell, cell.task(7, WorkClass::Batch, 100)) == ErrorCode::NotFound);
    cell.policy.teams[0].limit[ResourceKind::MilliCores] = 3000;
    cell.applyPolicy();
    CHECK(refusal(cell, cell.task(1, WorkClass::Batch, 4000)) == ErrorCode::LimitExceeded);
}

// The only target that is large enough is lost while a job waits for it. The job keeps waiting, and
// the tasks submitted after it are placed.
TEST_CASE("a job that cannot be placed does not block others", "[queues]")
{
    SmallCell cell(2, 1);
    TargetInfo large;
    large.id = TargetId(9);
    large.total = Resources{{32000, 64000, 0, 8, 64}};
    cell.checked.targetChanged(large, cell.now);
    const TaskId huge = cell.submit(1, WorkClass::Batch, 20000);
    cell.checked.targetLost(large.id, cell.now);
    std::vector<TaskId> others;
    others.reserve(10);
    for (int i = 0; i < 10; ++i)
        others.push_back(cell.submit(1, WorkClass::Batch, 1000));
    cell.run(std::chrono::seconds(1));
    for (const TaskId other : others)
        CHECK(cell.isPlaced(other));
    CHECK(cell.reasonOf(huge) == Reason::NotOnFleet);
}

// 100,000 tasks are cancelled at once, of which 32 are running and fill the cell.
TEST_CASE("cancelling many tasks at once leaves nothing waiting or placed", "[queues]")
{
    SmallCell cell(4, 1);
    std::vector<TaskId> tasks;
    tasks.reserve(100000);
    for (int i = 0; i < 100000; ++i)
        tasks.push_back(cell.submit(1, WorkClass::Batch, 1000));
    cell.decide();
    REQUIRE(cell.checked.placed.size() == 32);
    std::size_t waited = 0;
    for (const TaskId task : tasks)
        waited += cell.checked.cancel(task, cell.now) ? 1 : 0;
    CHECK(waited == tasks.size() - 32);
    CHECK(cell.scheduler.statistics().of(WorkClass::Batch).waiting == 0);
    // Running tasks are accounted for until their end is reported.
    CHECK(cell.scheduler.statistics().of(WorkClass::Batch).running == 32);
    const auto placed = cell.checked.placed;
    for (const auto &[task, place] : placed)
        cell.checked.requeue(task, AttemptOutcome::Stopped, cell.now);
    CHECK(cell.scheduler.statistics().placed == Resources());
    CHECK(cell.decide().empty());
}

// The queue is far longer than the caller's deadline. Refusing the task only at the deadline would
// cost the caller the time to go elsewhere.
TEST_CASE("a task that cannot start by its deadline is refused at once with a retry time",
          "[queues]")
{
    SmallCell cell(1, 1);
    cell.run(std::chrono::seconds(10), [&cell] {
        while (cell.checked.waiting.size() < 100)
            cell.submit(1, WorkClass::Batch, 8000);
        if (!cell.checked.placed.empty()
            && cell.now.time_since_epoch() % std::chrono::milliseconds(100) == Microseconds(0))
            cell.end(cell.checked.placed.begin()->first);
    });
    TaskRequest request = cell.task(1, WorkClass::Batch, 8000);
    request.startBy = cell.now + std::chrono::seconds(1); // the queue takes about ten
    const Result<void> result = cell.scheduler.submit(request, cell.now);
    REQUIRE(result.has_error());
    CHECK(result.error().code == ErrorCode::DeadlineExceeded);
    CHECK(result.error().retryAfter > Milliseconds(4000));
    CHECK(result.error().retryAfter < Milliseconds(20000));
    request.startBy = cell.now + std::chrono::seconds(30);
    CHECK_FALSE(cell.scheduler.submit(request, cell.now).has_error());
}

TEST_CASE("a task that has not started by its deadline is refused without having run", "[queues]")
{
    SmallCell cell(1, 1);
    cell.submit(1, WorkClass::Service, 8000);
    cell.decide();
    TaskRequest request = cell.task(1, WorkClass::Batch, 1000);
    request.startBy = cell.now + std::chrono::milliseconds(500);
    cell.submit(request);
    CHECK(cell.scheduler.nextWakeup() <= request.startBy);
    const auto decisions = cell.run(std::chrono::seconds(1));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().kind == DecisionKind::Refuse);
    CHECK(decisions.front().retryAfter.count() > 0);
    CHECK(cell.scheduler.explain(request.id).state == Explanation::State::Refused);
}

// The failure of one failure domain or rack must not take down all tasks of a service.
TEST_CASE("a service is spread over failure domains and racks", "[queues]")
{
    SmallCell cell(6, 1);
    TaskRequest request = cell.task(1, WorkClass::Service, 1000);
    request.jobTasks = 6;
    const JobId job = request.job;
    for (int i = 0; i < 6; ++i) {
        if (i > 0)
            request.id = cell.task(1, WorkClass::Service, 1000).id;
        request.job = job;
        cell.submit(request);
    }
    cell.decide();
    std::set<TargetId> targets;
    for (const auto &[id, place] : cell.checked.placed)
        targets.insert(place.target);
    CHECK(targets.size() == 6);
}

// Declared sizes are four times the measured use. After enough measurements the same work must be
// packed by its actual use, while its slots stay as declared.
TEST_CASE("declared sizes are corrected by measured use", "[queues]")
{
    SmallCell cell(2, 1);
    const auto placeAndReport = [&cell] {
        while (cell.checked.waiting.size() < 16)
            cell.submit(1, WorkClass::Batch, 4000);
        cell.run(std::chrono::seconds(2));
        const auto placed = cell.checked.placed;
        for (const auto &[id, place] : placed) {
            cell.scheduler.usageReported(id, Resources{{1000, 1000, 0, 1, 1}}, cell.now);
            cell.end(id);
        }
        return placed.size();
    };
    CHECK(placeAndReport() == 4);
    for (int i = 0; i < 6; ++i)
        placeAndReport();
    CHECK(placeAndReport() >= 12);
    CHECK(cell.checked.violation.empty());
}

// A new controller rebuilds the scheduler from replicated state after the previous one has crashed.
// It must not start a task twice, nor underestimate what a team or a target already uses.
TEST_CASE("a new controller accounts for tasks that its predecessor placed", "[queues]")
{
    SmallCell cell(0, 1);
    cell.policy.teams[0].limit[ResourceKind::MilliCores] = 6000;
    cell.applyPolicy();
    const TaskRequest running = cell.task(1, WorkClass::Batch, 5000);
    cell.scheduler.restorePlaced(running, running.need, TargetId(1), cell.now);
    cell.announce(1, 1);
    cell.announce(2, 1);
    CHECK(cell.scheduler.submit(running, cell.now).error().code == ErrorCode::Conflict);
    const TaskId other = cell.submit(1, WorkClass::Batch, 2000);
    CHECK(cell.decide().empty());
    CHECK(cell.reasonOf(other) == Reason::TeamLimit);
    cell.scheduler.taskEnded(running.id, AttemptOutcome::Succeeded, cell.now);
    CHECK(cell.decide().size() == 1);
}

TEST_CASE("explain describes why a task waits or where it is placed", "[queues]")
{
    SmallCell cell(1, 1);
    const TaskId first = cell.submit(1, WorkClass::Batch, 8000);
    const TaskId second = cell.submit(1, WorkClass::Batch, 8000);
    cell.decide();
    const Explanation placed = cell.scheduler.explain(first);
    CHECK(placed.state == Explanation::State::Placed);
    CHECK(placed.considered == 1);
    CHECK(placed.text.find("target 1") != std::string::npos);
    const Explanation waiting = cell.scheduler.explain(second);
    CHECK(waiting.state == Explanation::State::Waiting);
    CHECK(waiting.reason == Reason::NoRoom);
    CHECK(waiting.text.find("no target has room") != std::string::npos);
    cell.end(first);
    CHECK(cell.scheduler.explain(first).state == Explanation::State::Ended);
    CHECK(cell.scheduler.explain(TaskId(999)).state == Explanation::State::Unknown);
}
