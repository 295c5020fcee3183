#include <catch2/catch.hpp>

#include "workflows/storefixture.h"

using namespace guavavalve;
using namespace guavavalve::workflows;

TEST_CASE("a workflow goes through its steps in order and completes", "[book]")
{
    StoreFixture f;
    CHECK(f.accept({f.step(2), f.step(1, {0})}) == CommandOutcome::Applied);
    CHECK(f.workflow().state() == WorkflowState::Queued);
    CHECK(f.place(1, 1, {1}) == CommandOutcome::Rejected); // its step is not ready
    CHECK(f.place(0, 1, {1, 2}) == CommandOutcome::Applied);
    CHECK(f.workflow().state() == WorkflowState::Running);
    f.end(0, 0, 1, RunOutcome::Succeeded);
    CHECK(f.place(1, 1, {1}) == CommandOutcome::Rejected);
    f.end(0, 1, 1, RunOutcome::Succeeded);
    CHECK(f.place(1, 1, {3}) == CommandOutcome::Applied);
    f.end(1, 0, 1, RunOutcome::Succeeded);
    CHECK(f.workflow().state() == WorkflowState::Completed);
    CHECK(f.store.live().empty());
    CHECK(f.store.find(f.incarnation(1))->used == Resources{});
    CHECK(f.store.placedByAccount().at("a") == Resources{});
}

TEST_CASE("a workflow that is sent again joins the first", "[book]")
{
    // A caller loses the answer to its submit and sends it again, to another instance and with the
    // work under way. It must stay one workflow, or each of its tasks would run twice.
    StoreFixture f;
    f.accept({f.step(1)});
    f.place(0, 1, {1});
    CHECK(f.accept({f.step(1)}) == CommandOutcome::Joined);
    CHECK(f.task(0, 0).phase == TaskPhase::Placed);
}

TEST_CASE("a task is placed once at a time, with rising run numbers", "[book]")
{
    StoreFixture f;
    f.accept({f.step(1)});
    CHECK(f.place(0, 1, {1}) == CommandOutcome::Applied);
    CHECK(f.place(0, 2, {2}) == CommandOutcome::Rejected);
    f.end(0, 0, 1, RunOutcome::Lost);
    CHECK(f.place(0, 1, {2}) == CommandOutcome::Rejected);
    CHECK(f.place(0, 2, {2}) == CommandOutcome::Applied);
}

TEST_CASE("an end of an earlier run changes nothing", "[book]")
{
    // A target is cut off, its run is taken for over and started elsewhere. The target comes back
    // and lists the end of the run that it had: it must not end the one that goes on elsewhere.
    StoreFixture f;
    f.accept({f.step(1)});
    f.place(0, 1, {1});
    f.end(0, 0, 1, RunOutcome::Lost);
    f.place(0, 2, {2});
    CHECK(f.end(0, 0, 1, RunOutcome::Succeeded) == CommandOutcome::Unchanged);
    CHECK(f.task(0, 0).phase == TaskPhase::Placed);
    CHECK(f.task(0, 0).run == 2);
}

TEST_CASE("only ends by failure count against the attempts", "[book]")
{
    StoreFixture f;
    f.accept({f.step(1)});
    RunNumber run = 0;
    for (const RunOutcome harmless : {RunOutcome::Stopped, RunOutcome::Lapsed, RunOutcome::Broken,
                                      RunOutcome::Lost, RunOutcome::NeverStarted}) {
        f.place(0, ++run, {1});
        f.end(0, 0, run, harmless);
        CHECK(f.task(0, 0).phase == TaskPhase::Waiting);
    }
    f.place(0, ++run, {1});
    f.end(0, 0, run, RunOutcome::Failed);
    CHECK(f.workflow().state() == WorkflowState::Running);
    f.place(0, ++run, {1});
    f.end(0, 0, run, RunOutcome::Failed);
    CHECK(f.workflow().state() == WorkflowState::Failed);
    CHECK(f.place(0, ++run, {1}) == CommandOutcome::Rejected);
}

TEST_CASE("a gang fails once for a run, however many members failed", "[book]")
{
    StoreFixture f;
    f.accept({f.gang(3)});
    f.place(0, 1, {1, 2, 3});
    f.end(0, 0, 1, RunOutcome::Failed);
    f.end(0, 1, 1, RunOutcome::Failed);
    f.end(0, 2, 1, RunOutcome::Broken);
    CHECK(f.workflow().state() == WorkflowState::Running);
    f.place(0, 2, {1, 2, 3});
    f.end(0, 0, 2, RunOutcome::Failed);
    CHECK(f.workflow().state() == WorkflowState::Failed);
}

TEST_CASE("a gang whose end is told by one member is done, though others were lost", "[book]")
{
    // A gang finishes while one of its targets leaves: that member's end is never heard, and it
    // counts as lost; then another member lists the gang's success. The gang was left with some
    // members done and one waiting, never to be started again: its caller waited for ever.
    StoreFixture f;
    f.accept({f.gang(3), f.step(1, {0})});
    f.place(0, 1, {1, 2, 3});
    f.end(0, 0, 1, RunOutcome::Lost);
    f.end(0, 1, 1, RunOutcome::Succeeded);
    CHECK(f.workflow().step(f.at(0)).isDone());
    CHECK(f.store.find(f.incarnation(3))->used == Resources{});
    f.end(0, 2, 1, RunOutcome::Succeeded); // listed later: nothing more to tell
    CHECK(f.place(1, 1, {1}) == CommandOutcome::Applied);
    f.end(1, 0, 1, RunOutcome::Succeeded);
    CHECK(f.workflow().state() == WorkflowState::Completed);
}

TEST_CASE("a cancelled workflow starts nothing more and goes when its tasks have ended", "[book]")
{
    StoreFixture f;
    f.accept({f.step(2)});
    f.place(0, 1, {1});
    CHECK(f.apply(CancelWorkflow{f.job, 9}) == CommandOutcome::Applied);
    CHECK(f.workflow().state() == WorkflowState::Cancelled);
    CHECK(f.apply(CancelWorkflow{f.job, 9}) == CommandOutcome::Unchanged);
    CHECK(f.store.live().count(f.job) == 1);
    CHECK(f.apply(ForgetWorkflows{{f.job}}) == CommandOutcome::Applied);
    CHECK(f.store.find(f.job) != nullptr); // its task is still there
    f.end(0, 0, 1, RunOutcome::Stopped);
    CHECK(f.store.live().empty());
    f.apply(ForgetWorkflows{{f.job}});
    CHECK(f.store.find(f.job) == nullptr);
}

TEST_CASE("a lasting task waits again however it ended", "[book]")
{
    StoreFixture f;
    StepSpec longRunning = f.step(1);
    longRunning.longRunning = true;
    f.accept({longRunning});
    RunNumber run = 0;
    for (const RunOutcome outcome :
         {RunOutcome::Succeeded, RunOutcome::Failed, RunOutcome::Failed, RunOutcome::Failed}) {
        f.place(0, ++run, {1});
        f.end(0, 0, run, outcome);
        CHECK(f.task(0, 0).phase == TaskPhase::Waiting);
    }
    CHECK(f.workflow().state() == WorkflowState::Running);
}

TEST_CASE("checkpoints are carried on, and the newest known one is kept", "[book]")
{
    StoreFixture f;
    f.accept({f.step(1)});
    f.place(0, 1, {1});
    f.end(0, 0, 1, RunOutcome::Stopped, 2, "half");
    f.place(0, 2, {2});
    f.end(0, 0, 2, RunOutcome::Lost);
    CHECK(f.task(0, 0).checkpoint == "half");
}

TEST_CASE("an earlier life of a target does not come back", "[book]")
{
    StoreFixture f(1);
    CHECK(f.registerIncarnation("t1", 2) == CommandOutcome::Applied);
    CHECK(f.store.newestIncarnation("t1") == f.incarnation(2));
    CHECK(f.registerIncarnation("t1", 1) == CommandOutcome::Unchanged);
    CHECK(f.store.newestIncarnation("t1") == f.incarnation(2));
}

TEST_CASE("a life with something placed on it is not forgotten", "[book]")
{
    StoreFixture f;
    f.accept({f.step(1)});
    f.place(0, 1, {1});
    CHECK(f.apply(ForgetIncarnation{f.incarnation(1)}) == CommandOutcome::Rejected);
    f.end(0, 0, 1, RunOutcome::Lost);
    CHECK(f.apply(ForgetIncarnation{f.incarnation(1)}) == CommandOutcome::Applied);
    CHECK(f.place(0, 2, {1}) == CommandOutcome::Rejected);
}

TEST_CASE("the document of the highest version is in force", "[book]")
{
    StoreFixture f;
    CHECK(f.apply(StoreDocument{4, "four"}) == CommandOutcome::Applied);
    CHECK(f.apply(StoreDocument{4, "other"}) == CommandOutcome::Unchanged);
    CHECK(f.apply(StoreDocument{3, "three"}) == CommandOutcome::Unchanged);
    CHECK(f.store.document() == "four");
    CHECK(f.apply(StoreDocument{9, "nine"}) == CommandOutcome::Applied);
    CHECK(f.store.documentVersion() == 9);
}

TEST_CASE("draining is remembered with the life", "[book]")
{
    // A target says that it drains and is acknowledged; then the controller is lost. The next one
    // has not heard the target, and must not start anything there.
    StoreFixture f;
    CHECK(f.apply(SetIncarnationDraining{f.incarnation(1), true}) == CommandOutcome::Applied);
    WorkflowStore later;
    REQUIRE(later.restore(f.store.snapshot()));
    CHECK(later.find(f.incarnation(1))->isDraining);
    CHECK(f.apply(SetIncarnationDraining{f.incarnation(1), true}) == CommandOutcome::Unchanged);
}

TEST_CASE("a snapshot holds the whole book, and a broken one changes nothing", "[book]")
{
    StoreFixture f;
    f.accept({f.gang(2), f.step(1, {0})});
    f.place(0, 1, {1, 2});
    f.apply(StoreDocument{4, "four"});
    const std::string snapshot = f.store.snapshot();
    WorkflowStore copy;
    REQUIRE(copy.restore(snapshot));
    CHECK(copy.snapshot() == snapshot);
    WorkflowStore kept;
    REQUIRE(kept.restore(snapshot));
    for (std::size_t length = 0; length < snapshot.size(); length += 7)
        CHECK(!kept.restore(std::string_view(snapshot).substr(0, length)));
    CHECK(kept.snapshot() == snapshot);
}

// A replica's memory grew with every workflow that had ended in the last three minutes, mostly by
// payloads that no target would be sent again. What a caller may ask for stays.
TEST_CASE("a workflow that is over keeps its outcome and no payload", "[book]")
{
    StoreFixture fixture;
    fixture.accept({StoreFixture::step(2)});
    REQUIRE(fixture.place(0, 1, {1, 2}) == CommandOutcome::Applied);
    fixture.end(0, 0, 1, RunOutcome::Succeeded);
    CHECK(fixture.workflow().spec.payload == "work");
    fixture.end(0, 1, 1, RunOutcome::Succeeded);
    CHECK(fixture.workflow().state() == WorkflowState::Completed);
    CHECK(fixture.workflow().spec.queue == "q");
    CHECK(fixture.workflow().spec.account == "a");
    CHECK(fixture.workflow().spec.payload.empty());
    CHECK(fixture.workflow().occurrences.empty());
    // A late word of a run that is over, and the same workflow handed in again, change nothing.
    CHECK(fixture.end(0, 1, 1, RunOutcome::Failed) == CommandOutcome::Unchanged);
    CHECK(fixture.accept({StoreFixture::step(2)}) == CommandOutcome::Joined);
}

// A cancelled workflow sheds nothing while runs of it may go on: they are still to be stopped.
TEST_CASE("a cancelled workflow keeps its tasks until the last run is over", "[book]")
{
    StoreFixture fixture;
    fixture.accept({StoreFixture::step(1)});
    REQUIRE(fixture.place(0, 1, {1}) == CommandOutcome::Applied);
    fixture.apply(CancelWorkflow{StoreFixture::job, 5});
    CHECK(fixture.task(0, 0).phase == TaskPhase::Placed);
    fixture.end(0, 0, 1, RunOutcome::Stopped);
    CHECK(fixture.workflow().occurrences.empty());
}

TEST_CASE("the book knows whether a target's report says anything new", "[book]")
{
    StoreFixture f(1);
    TargetIdentity identity = f.store.find(f.incarnation(1))->identity;
    CHECK(f.store.matchesNewest(identity, false));
    CHECK_FALSE(f.store.matchesNewest(identity, true));
    identity.startedAtMs = 2;
    CHECK_FALSE(f.store.matchesNewest(identity, false));
    identity.name = "another";
    CHECK_FALSE(f.store.matchesNewest(identity, false));
}
