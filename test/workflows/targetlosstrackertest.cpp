#include <catch2/catch.hpp>

#include "workflows/planfixture.h"
#include "workflows/storefixture.h"
#include "workflows/targetlosstracker.h"

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr TaskAddress task{{StoreFixture::job, 0, 0}, 0};

IncarnationId incarnation(unsigned number)
{
    return static_cast<IncarnationId>(number);
}

/// The fixture's first task is lost with the target of \a number, which has crashed.
void crashUnder(StoreFixture &f, RunNumber run, unsigned number, RunOutcome outcome)
{
    REQUIRE(f.place(0, run, {number}) == CommandOutcome::Applied);
    f.end(0, 0, run, outcome);
    f.apply(MarkIncarnationCrashed{f.incarnation(number), 5});
}

} // namespace

TEST_CASE("a task is given up once enough targets have crashed soon after they began it",
          "[losses]")
{
    TargetLossTracker losses;
    for (unsigned i = 1; i < TargetLossTracker::mostEarlyCrashes; ++i) {
        losses.lost(incarnation(i), task, true);
        CHECK(losses.crashed(incarnation(i)).empty());
    }
    losses.lost(incarnation(9), task, true);
    CHECK(losses.crashed(incarnation(9)) == std::vector<TaskAddress>{task});
}

TEST_CASE("crashes in the middle of a run weigh less", "[losses]")
{
    TargetLossTracker losses;
    for (unsigned i = 1; i < TargetLossTracker::mostCrashes; ++i) {
        losses.lost(incarnation(i), task, false);
        CHECK(losses.crashed(incarnation(i)).empty());
    }
    losses.lost(incarnation(9), task, false);
    CHECK(losses.crashed(incarnation(9)) == std::vector<TaskAddress>{task});
}

TEST_CASE("a target that goes on has not crashed", "[losses]")
{
    TargetLossTracker losses;
    losses.lost(incarnation(1), task, true);
    CHECK(losses.isSuspect(task));
    losses.survived(incarnation(1));
    CHECK_FALSE(losses.isSuspect(task));
    CHECK(losses.crashed(incarnation(1)).empty());
    CHECK(losses.isEmpty());
}

TEST_CASE("a task that one life was lost with twice counts once", "[losses]")
{
    TargetLossTracker losses;
    losses.lost(incarnation(1), task, false);
    losses.lost(incarnation(1), task, true);
    CHECK(losses.count(task).open == 1);
    CHECK(losses.isSuspect(task));
    SECTION("the life goes on")
    {
        losses.survived(incarnation(1));
        CHECK(losses.isEmpty());
    }
    SECTION("the life has crashed")
    {
        losses.crashed(incarnation(1));
        CHECK(losses.count(task).crashes == 1);
        CHECK(losses.count(task).earlyCrashes == 1);
    }
}

TEST_CASE("a task is not started while its last chance may be spent", "[losses]")
{
    TargetLossTracker losses;
    for (unsigned i = 1; i <= TargetLossTracker::mostEarlyCrashes; ++i)
        losses.lost(incarnation(i), task, true);
    CHECK_FALSE(losses.mayStart(task));
    losses.crashed(incarnation(1));
    CHECK_FALSE(losses.mayStart(task));
    losses.survived(incarnation(2));
    CHECK(losses.mayStart(task));
}

TEST_CASE("of tasks that had just begun the one with the most crashes before is blamed", "[losses]")
{
    const TaskAddress neighbour{{static_cast<WorkflowId>(8), 0, 0}, 0};
    TargetLossTracker losses;
    losses.lost(incarnation(1), task, true);
    losses.crashed(incarnation(1));
    losses.lost(incarnation(2), task, true);
    losses.lost(incarnation(2), neighbour, true);
    losses.crashed(incarnation(2));
    CHECK(losses.count(task).earlyCrashes == 2);
    CHECK(losses.count(neighbour).earlyCrashes == 0);
    CHECK(losses.count(neighbour).crashes == 1);
}

TEST_CASE("what is forgotten of a workflow is forgotten of its tasks alone", "[losses]")
{
    TargetLossTracker losses;
    const TaskAddress other{{static_cast<WorkflowId>(8), 0, 0}, 0};
    losses.lost(incarnation(1), task, true);
    losses.lost(incarnation(1), other, true);
    losses.forget(StoreFixture::job);
    CHECK(losses.lostWith(incarnation(1)) == std::vector<TaskAddress>{other});
    CHECK_FALSE(losses.isSuspect(task));
    CHECK(losses.isSuspect(other));
}

TEST_CASE("the workflow of a task that crashes its targets has failed", "[losses][book]")
{
    StoreFixture f(3);
    f.accept({f.step(1)});
    for (unsigned i = 1; i <= TargetLossTracker::mostEarlyCrashes; ++i)
        crashUnder(f, i, i, RunOutcome::LostEarly);
    CHECK(f.workflow().state() == WorkflowState::Failed);
    CHECK(f.store.losses().isEmpty());
}

TEST_CASE("an earlier controller's placement of a task at its last chance is rejected",
          "[losses][book]")
{
    StoreFixture f(TargetLossTracker::mostEarlyCrashes + 1);
    f.accept({f.step(1)});
    for (unsigned i = 1; i <= TargetLossTracker::mostEarlyCrashes; ++i) {
        REQUIRE(f.place(0, i, {i}) == CommandOutcome::Applied);
        f.end(0, 0, i, RunOutcome::LostEarly);
    }
    CHECK(f.place(0, 9, {4}) == CommandOutcome::Rejected);
    f.apply(MarkIncarnationAlive{f.incarnation(1)});
    CHECK(f.place(0, 9, {4}) == CommandOutcome::Applied);
}

TEST_CASE("a snapshot keeps the crashes under a task", "[losses][book]")
{
    StoreFixture f(3);
    f.accept({f.step(1)});
    crashUnder(f, 1, 1, RunOutcome::LostEarly);
    crashUnder(f, 2, 2, RunOutcome::LostEarly);
    WorkflowStore copy;
    REQUIRE(copy.restore(f.store.snapshot()));
    CHECK(copy.losses().count(task).earlyCrashes == 2);
}

TEST_CASE("a snapshot without losses, as older programs wrote it, is read", "[losses][book]")
{
    StoreFixture f;
    f.accept({f.step(1)});
    f.apply(EvacuateDomain{"d1", true});
    constexpr std::size_t formatAt = 10;
    constexpr std::size_t emptyTailBytes = 3; // no losses, no changed rooms
    const std::string snapshot = f.store.snapshot();
    std::string older = snapshot.substr(0, snapshot.size() - emptyTailBytes);
    older[formatAt] = 2;
    WorkflowStore read;
    REQUIRE(read.restore(older));
    CHECK(read.snapshot() == snapshot);
}

TEST_CASE("a snapshot of a later format is refused", "[losses][book]")
{
    StoreFixture f;
    constexpr std::size_t formatAt = 10;
    std::string later = f.store.snapshot();
    ++later[formatAt];
    WorkflowStore read;
    CHECK_FALSE(read.restore(later));
}

TEST_CASE("a target that was to leave has not crashed", "[losses][book]")
{
    StoreFixture f(1);
    f.accept({f.step(1)});
    f.place(0, 1, {1});
    f.apply(SetIncarnationDraining{f.incarnation(1), true});
    f.end(0, 0, 1, RunOutcome::LostEarly);
    f.apply(MarkIncarnationCrashed{f.incarnation(1), 5});
    CHECK(f.store.losses().isEmpty());
}

TEST_CASE("a lasting task is given up only if it crashes its targets at once", "[losses][book]")
{
    const bool isEarly = GENERATE(false, true);
    StoreFixture f(2 * TargetLossTracker::mostCrashes);
    StepSpec longRunning = f.step(1);
    longRunning.longRunning = true;
    f.accept({longRunning});
    for (unsigned i = 1; i <= 2 * TargetLossTracker::mostCrashes && !f.workflow().isOver(); ++i)
        crashUnder(f, i, i, isEarly ? RunOutcome::LostEarly : RunOutcome::Lost);
    CHECK(f.workflow().isOver() == isEarly);
}

TEST_CASE("a task that may crash its target goes where the fewest others run", "[losses][planner]")
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

TEST_CASE("a task that must not start yet holds the others of its step up no longer",
          "[losses][planner]")
{
    PlanFixture f(4);
    f.accept({f.step(2)});
    for (unsigned i = 1; i <= TargetLossTracker::mostEarlyCrashes; ++i) {
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
