#include <catch2/catch.hpp>

#include "workflows/planfixture.h"
#include "workflows/store/targetlosstracker.h"
#include "workflows/storefixture.h"

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr TaskAddress task{{StoreFixture::job, 0, 0}, 0};

IncarnationId incarnation(unsigned number)
{
    return static_cast<IncarnationId>(number);
}

/// Loses the fixture's first task in a crash of target \a number.
void loseInCrash(StoreFixture &f, RunNumber run, unsigned number, RunOutcome outcome)
{
    REQUIRE(f.place(0, run, {number}) == CommandOutcome::Applied);
    f.end(0, 0, run, outcome);
    f.apply(MarkIncarnationCrashed{f.incarnation(number), 5});
}

} // namespace

TEST_CASE("a task is given up once enough targets have crashed soon after they started it",
          "[losses]")
{
    TargetLossTracker losses;
    for (unsigned i = 1; i < TargetLossTracker::maxEarlyCrashes; ++i) {
        losses.recordLoss(incarnation(i), task, true);
        CHECK(losses.recordCrash(incarnation(i)).empty());
    }
    losses.recordLoss(incarnation(9), task, true);
    CHECK(losses.recordCrash(incarnation(9)) == std::vector<TaskAddress>{task});
}

TEST_CASE("crashes in the middle of a run weigh less", "[losses]")
{
    TargetLossTracker losses;
    for (unsigned i = 1; i < TargetLossTracker::maxCrashes; ++i) {
        losses.recordLoss(incarnation(i), task, false);
        CHECK(losses.recordCrash(incarnation(i)).empty());
    }
    losses.recordLoss(incarnation(9), task, false);
    CHECK(losses.recordCrash(incarnation(9)) == std::vector<TaskAddress>{task});
}

TEST_CASE("losses with an incarnation that keeps running do not count", "[losses]")
{
    TargetLossTracker losses;
    losses.recordLoss(incarnation(1), task, true);
    CHECK(losses.isSuspect(task));
    losses.discardLosses(incarnation(1));
    CHECK_FALSE(losses.isSuspect(task));
    CHECK(losses.recordCrash(incarnation(1)).empty());
    CHECK(losses.isEmpty());
}

TEST_CASE("losing a task twice with one incarnation counts once", "[losses]")
{
    TargetLossTracker losses;
    losses.recordLoss(incarnation(1), task, false);
    losses.recordLoss(incarnation(1), task, true);
    CHECK(losses.count(task).openLosses == 1);
    CHECK(losses.isSuspect(task));
    SECTION("the incarnation keeps running")
    {
        losses.discardLosses(incarnation(1));
        CHECK(losses.isEmpty());
    }
    SECTION("the incarnation has crashed")
    {
        losses.recordCrash(incarnation(1));
        CHECK(losses.count(task).crashes == 1);
        CHECK(losses.count(task).earlyCrashes == 1);
    }
}

TEST_CASE("a task is not started while its open losses could reach the limit", "[losses]")
{
    TargetLossTracker losses;
    for (unsigned i = 1; i <= TargetLossTracker::maxEarlyCrashes; ++i)
        losses.recordLoss(incarnation(i), task, true);
    CHECK_FALSE(losses.mayStart(task));
    losses.recordCrash(incarnation(1));
    CHECK_FALSE(losses.mayStart(task));
    losses.discardLosses(incarnation(2));
    CHECK(losses.mayStart(task));
}

TEST_CASE("of the tasks that had just started, the one with the most earlier crashes is blamed",
          "[losses]")
{
    const TaskAddress neighbour{{static_cast<WorkflowId>(8), 0, 0}, 0};
    TargetLossTracker losses;
    losses.recordLoss(incarnation(1), task, true);
    losses.recordCrash(incarnation(1));
    losses.recordLoss(incarnation(2), task, true);
    losses.recordLoss(incarnation(2), neighbour, true);
    losses.recordCrash(incarnation(2));
    CHECK(losses.count(task).earlyCrashes == 2);
    CHECK(losses.count(neighbour).earlyCrashes == 0);
    CHECK(losses.count(neighbour).crashes == 1);
}

TEST_CASE("forgetting a workflow removes the losses of its own tasks only", "[losses]")
{
    TargetLossTracker losses;
    const TaskAddress other{{static_cast<WorkflowId>(8), 0, 0}, 0};
    losses.recordLoss(incarnation(1), task, true);
    losses.recordLoss(incarnation(1), other, true);
    losses.forget(StoreFixture::job);
    CHECK(losses.lostWith(incarnation(1)) == std::vector<TaskAddress>{other});
    CHECK_FALSE(losses.isSuspect(task));
    CHECK(losses.isSuspect(other));
}

TEST_CASE("the workflow of a task that crashes its targets fails", "[losses][book]")
{
    StoreFixture f(3);
    f.accept({f.step(1)});
    for (unsigned i = 1; i <= TargetLossTracker::maxEarlyCrashes; ++i)
        loseInCrash(f, i, i, RunOutcome::LostEarly);
    CHECK(f.workflow().state() == WorkflowState::Failed);
    CHECK(f.store.losses().isEmpty());
}

TEST_CASE("a placement is rejected while the open losses of the task could reach the limit",
          "[losses][book]")
{
    StoreFixture f(TargetLossTracker::maxEarlyCrashes + 1);
    f.accept({f.step(1)});
    for (unsigned i = 1; i <= TargetLossTracker::maxEarlyCrashes; ++i) {
        REQUIRE(f.place(0, i, {i}) == CommandOutcome::Applied);
        f.end(0, 0, i, RunOutcome::LostEarly);
    }
    CHECK(f.place(0, 9, {4}) == CommandOutcome::Rejected);
    f.apply(MarkIncarnationAlive{f.incarnation(1)});
    CHECK(f.place(0, 9, {4}) == CommandOutcome::Applied);
}

TEST_CASE("a snapshot keeps the crash counts of a task", "[losses][book]")
{
    StoreFixture f(3);
    f.accept({f.step(1)});
    loseInCrash(f, 1, 1, RunOutcome::LostEarly);
    loseInCrash(f, 2, 2, RunOutcome::LostEarly);
    WorkflowStore copy;
    REQUIRE(copy.restore(f.store.snapshot()));
    CHECK(copy.losses().count(task).earlyCrashes == 2);
}

TEST_CASE("a snapshot in the older format without losses is read", "[losses][book]")
{
    StoreFixture f;
    f.accept({f.step(1)});
    f.apply(EvacuateDomain{"d1", true});
    constexpr std::size_t formatAt = 10;
    constexpr std::size_t emptyTailBytes = 3; // no losses, no changed capacities
    const std::string snapshot = f.store.snapshot();
    std::string older = snapshot.substr(0, snapshot.size() - emptyTailBytes);
    older[formatAt] = 2;
    WorkflowStore read;
    REQUIRE(read.restore(older));
    CHECK(read.snapshot() == snapshot);
}

TEST_CASE("a snapshot of a later format is rejected", "[losses][book]")
{
    StoreFixture f;
    constexpr std::size_t formatAt = 10;
    std::string later = f.store.snapshot();
    ++later[formatAt];
    WorkflowStore read;
    CHECK_FALSE(read.restore(later));
}

TEST_CASE("the loss of a draining target does not count as a crash", "[losses][book]")
{
    StoreFixture f(1);
    f.accept({f.step(1)});
    f.place(0, 1, {1});
    f.apply(SetIncarnationDraining{f.incarnation(1), true});
    f.end(0, 0, 1, RunOutcome::LostEarly);
    f.apply(MarkIncarnationCrashed{f.incarnation(1), 5});
    CHECK(f.store.losses().isEmpty());
}

TEST_CASE("a long-running task is given up only if it crashes its targets soon after its start",
          "[losses][book]")
{
    const bool isEarly = GENERATE(false, true);
    StoreFixture f(2 * TargetLossTracker::maxCrashes);
    StepSpec longRunning = f.step(1);
    longRunning.longRunning = true;
    f.accept({longRunning});
    for (unsigned i = 1; i <= 2 * TargetLossTracker::maxCrashes && !f.workflow().isOver(); ++i)
        loseInCrash(f, i, i, isEarly ? RunOutcome::LostEarly : RunOutcome::Lost);
    CHECK(f.workflow().isOver() == isEarly);
}

TEST_CASE("a task that may crash its target is placed where the fewest other tasks run",
          "[losses][planner]")
{
    PlanFixture f(3);
    f.accept({f.step(1)});
    f.add(8, "q", f.step(1));
    f.apply(PlaceRuns{{static_cast<WorkflowId>(8), 0, 0}, 1, {{0, f.incarnation(2)}}});
    f.place(0, 1, {1});
    f.end(0, 0, 1, RunOutcome::LostEarly);
    const Plan plan = f.plan();
    REQUIRE(plan.placements.size() == 1);
    CHECK(plan.placements.front().placements.front().incarnation == f.incarnation(3));
}

TEST_CASE("a task that must not start yet does not delay the other tasks of its step",
          "[losses][planner]")
{
    PlanFixture f(4);
    f.accept({f.step(2)});
    for (unsigned i = 1; i <= TargetLossTracker::maxEarlyCrashes; ++i) {
        f.place(0, i, {i});
        f.end(0, 0, i, RunOutcome::LostEarly);
    }
    const Plan plan = f.plan();
    REQUIRE(plan.placements.size() == 1);
    REQUIRE(plan.placements.front().placements.size() == 1);
    CHECK(plan.placements.front().placements.front().index == 1);
    REQUIRE(!plan.waiting.empty());
    CHECK(plan.waiting.front().cause == WaitCause::Verdict);
}
