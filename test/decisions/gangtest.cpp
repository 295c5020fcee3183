#include <catch2/catch.hpp>

#include "smallcell.h"

using namespace guavavalve;
using namespace guavavalve::testing;

// A steady stream of small tasks takes all room as it is freed, so that a gang that needs whole
// targets at once would starve. The gang must start, and small tasks must still be placed.
TEST_CASE("a gang starts despite a steady stream of small tasks", "[gang]")
{
    SmallCell cell(6, 2);
    std::map<TaskId, Instant> started;
    const auto smallWork = [&cell, &started] {
        while (cell.checked.waiting.size() < 30) {
            TaskRequest request = cell.task(1, WorkClass::Batch, 2000);
            request.declaredRunTime = std::chrono::seconds(3);
            cell.submit(request);
        }
        for (const auto &[id, place] : cell.checked.placed)
            started.emplace(id, cell.now);
        for (const auto &[id, at] : std::map<TaskId, Instant>(started)) {
            const bool small = cell.isPlaced(id)
                && cell.checked.placed.at(id).request.workClass == WorkClass::Batch;
            if (small && cell.now - at >= std::chrono::seconds(3)) {
                started.erase(id);
                cell.end(id);
            }
        }
    };
    cell.run(std::chrono::seconds(5), smallWork);
    cell.submitGang(2, 3, 8000);
    bool gangPlaced = false;
    std::size_t smallPlaced = 0;
    for (const Decision &decision : cell.run(std::chrono::seconds(60), smallWork)) {
        gangPlaced = gangPlaced || decision.reason == Reason::GangComplete;
        smallPlaced += decision.kind == DecisionKind::Place ? 1 : 0;
    }
    CHECK(gangPlaced);
    CHECK(smallPlaced > 100);
    CHECK(cell.checked.violation.empty());
}

// One task of a running gang is lost with its target. The other tasks are useless without it, so
// they are stopped, and then the whole gang is placed again.
TEST_CASE("a gang that loses a task is restarted as a whole", "[gang]")
{
    SmallCell cell(4, 1);
    cell.submitGang(1, 4, 6000);
    cell.decide();
    REQUIRE(cell.checked.placed.size() == 4);
    const TaskId lost = cell.checked.placed.begin()->first;
    cell.checked.targetLost(cell.targetOf(lost), cell.now);
    cell.checked.requeue(lost, AttemptOutcome::Lost, cell.now);
    const auto decisions = cell.run(std::chrono::seconds(1));
    CHECK(countOf(decisions, DecisionKind::Stop) == 3);
    CHECK(cell.checked.placed.empty());
    cell.announce(9, 1);
    cell.run(std::chrono::seconds(2));
    CHECK(cell.checked.placed.size() == 4);
    CHECK(cell.checked.violation.empty());
}

TEST_CASE("a task that differs from its gang is refused", "[gang]")
{
    SmallCell cell(4, 2);
    TaskRequest member = cell.task(1, WorkClass::Gang, 1000);
    member.jobTasks = 2;
    cell.submit(member);
    TaskRequest other = member;
    other.id = cell.task(1, WorkClass::Gang, 1000).id;
    other.need[ResourceKind::MilliCores] = 8000;
    CHECK(cell.scheduler.submit(other, cell.now).error().code == ErrorCode::InvalidArgument);
    other.need = member.need;
    CHECK_FALSE(cell.scheduler.submit(other, cell.now).has_error());
}

// A placement is rejected, as when its commit fails after a change of controller. No task of the
// gang may stay placed.
TEST_CASE("a rejected gang is undone as a whole and placed again", "[gang]")
{
    SmallCell cell(4, 1);
    cell.submitGang(1, 4, 6000);
    cell.decide();
    REQUIRE(cell.checked.placed.size() == 4);
    cell.checked.placementRejected(cell.checked.placed.begin()->first, cell.now);
    CHECK(cell.checked.placed.empty());
    CHECK(cell.scheduler.statistics().placed == Resources());
    cell.run(std::chrono::seconds(1));
    CHECK(cell.checked.placed.size() == 4);
}
