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

TEST_CASE("a workflow that is submitted again joins the existing one", "[book]")
{
    // A caller that loses the answer to its submit sends it again to another instance, while the
    // work is already running. It must remain one workflow, or each of its tasks would run twice.
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
    // A target is cut off, and its run is declared over and started elsewhere. When the target
    // comes back and lists the end of its earlier run, this must not end the run elsewhere.
    StoreFixture f;
    f.accept({f.step(1)});
    f.place(0, 1, {1});
    f.end(0, 0, 1, RunOutcome::Lost);
    f.place(0, 2, {2});
    CHECK(f.end(0, 0, 1, RunOutcome::Succeeded) == CommandOutcome::Unchanged);
    CHECK(f.task(0, 0).phase == TaskPhase::Placed);
    CHECK(f.task(0, 0).run == 2);
}

TEST_CASE("only failures count towards the failure limit", "[book]")
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

TEST_CASE("a gang counts one failure per run, however many of its members failed", "[book]")
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

TEST_CASE("a gang completes when one member reports success, even if other members were lost",
          "[book]")
{
    // A gang finishes while one of its targets leaves: that member's end is never received and the
    // member counts as lost; then another member lists the gang's success. If the gang is left with
    // some members done and one waiting, it is never started again and its caller waits forever.
    StoreFixture f;
    f.accept({f.gang(3), f.step(1, {0})});
    f.place(0, 1, {1, 2, 3});
    f.end(0, 0, 1, RunOutcome::Lost);
    f.end(0, 1, 1, RunOutcome::Succeeded);
    CHECK(f.workflow().step(f.at(0)).isDone());
    CHECK(f.store.find(f.incarnation(3))->used == Resources{});
    f.end(0, 2, 1, RunOutcome::Succeeded); // listed later: no effect
    CHECK(f.place(1, 1, {1}) == CommandOutcome::Applied);
    f.end(1, 0, 1, RunOutcome::Succeeded);
    CHECK(f.workflow().state() == WorkflowState::Completed);
}

TEST_CASE("a cancelled workflow starts nothing more and can be removed after its tasks have ended",
          "[book]")
{
    StoreFixture f;
    f.accept({f.step(2)});
    f.place(0, 1, {1});
    CHECK(f.apply(CancelWorkflow{f.job, 9}) == CommandOutcome::Applied);
    CHECK(f.workflow().state() == WorkflowState::Cancelled);
    CHECK(f.apply(CancelWorkflow{f.job, 9}) == CommandOutcome::Unchanged);
    CHECK(f.store.live().count(f.job) == 1);
    CHECK(f.apply(ForgetWorkflows{{f.job}}) == CommandOutcome::Applied);
    CHECK(f.store.find(f.job) != nullptr); // its task is still placed
    f.end(0, 0, 1, RunOutcome::Stopped);
    CHECK(f.store.live().empty());
    f.apply(ForgetWorkflows{{f.job}});
    CHECK(f.store.find(f.job) == nullptr);
}

TEST_CASE("a long-running task waits for its next start however it ended", "[book]")
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

TEST_CASE("the newest known checkpoint of a task is kept across runs", "[book]")
{
    StoreFixture f;
    f.accept({f.step(1)});
    f.place(0, 1, {1});
    f.end(0, 0, 1, RunOutcome::Stopped, 2, "half");
    f.place(0, 2, {2});
    f.end(0, 0, 2, RunOutcome::Lost);
    CHECK(f.task(0, 0).checkpoint == "half");
}

TEST_CASE("a late registration of an earlier incarnation is ignored", "[book]")
{
    StoreFixture f(1);
    CHECK(f.registerIncarnation("t1", 2) == CommandOutcome::Applied);
    CHECK(f.store.newestIncarnation("t1") == f.incarnation(2));
    CHECK(f.registerIncarnation("t1", 1) == CommandOutcome::Unchanged);
    CHECK(f.store.newestIncarnation("t1") == f.incarnation(2));
}

TEST_CASE("an incarnation with placed tasks is not forgotten", "[book]")
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

TEST_CASE("a snapshot keeps the draining state of an incarnation", "[book]")
{
    // A target's report that it drains is acknowledged, and then the controller is lost. The next
    // controller has not heard from the target and must not start anything there.
    StoreFixture f;
    CHECK(f.apply(SetIncarnationDraining{f.incarnation(1), true}) == CommandOutcome::Applied);
    WorkflowStore later;
    REQUIRE(later.restore(f.store.snapshot()));
    CHECK(later.find(f.incarnation(1))->isDraining);
    CHECK(f.apply(SetIncarnationDraining{f.incarnation(1), true}) == CommandOutcome::Unchanged);
}

TEST_CASE("a snapshot holds the whole store, and restoring a truncated one changes nothing",
          "[book]")
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

// Guards against memory that grows with every workflow that ended in the last three minutes, mostly
// through payloads that are not sent to any target again. What a caller may ask for is kept.
TEST_CASE("a finished workflow keeps its outcome and discards its payload", "[book]")
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
    // A late end of a run that is over, and a second submission of the workflow, change nothing.
    CHECK(fixture.end(0, 1, 1, RunOutcome::Failed) == CommandOutcome::Unchanged);
    CHECK(fixture.accept({StoreFixture::step(2)}) == CommandOutcome::Joined);
}

// A cancelled workflow discards nothing while its runs may continue, because they still have to be
// stopped.
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

TEST_CASE("the store recognises reports that contain nothing new", "[book]")
{
    StoreFixture f(1);
    TargetIdentity identity = f.store.find(f.incarnation(1))->identity;
    CHECK(f.store.matchingNewest(identity, false) == f.store.newestIncarnation(identity.name));
    CHECK(f.store.matchingNewest(identity, true) == IncarnationId::None);
    identity.startedAtMs = 2;
    CHECK(f.store.matchingNewest(identity, false) == IncarnationId::None);
    identity.name = "another";
    CHECK(f.store.matchingNewest(identity, false) == IncarnationId::None);
}

// Guards against work that is placed on an earlier incarnation of a target.
TEST_CASE("the store knows superseded incarnations, also after a snapshot", "[book]")
{
    StoreFixture f(2);
    REQUIRE(f.registerIncarnation("t1", 2) == CommandOutcome::Applied);
    CHECK(f.store.isSuperseded(f.incarnation(1)));
    CHECK_FALSE(f.store.isSuperseded(f.incarnation(2)));
    CHECK_FALSE(f.store.isSuperseded(f.incarnation(3)));
    WorkflowStore restored;
    REQUIRE(restored.restore(f.store.snapshot()));
    CHECK(restored.isSuperseded(f.incarnation(1)));
    CHECK_FALSE(restored.isSuperseded(f.incarnation(3)));
    REQUIRE(f.apply(ForgetIncarnation{f.incarnation(1)}) == CommandOutcome::Applied);
    CHECK_FALSE(f.store.isSuperseded(f.incarnation(1)));
}

namespace {

TargetSpeed speedOf(const std::string &name, std::int32_t logSlowness, std::int64_t learnedAtMs)
{
    return {name, "kind", logSlowness, 40, learnedAtMs};
}

} // namespace

// Guards against learned speeds that are lost with an incarnation or a replica, and against a table
// that grows with every target that was ever registered.
TEST_CASE("learned speeds outlive the incarnation and are forgotten after the target", "[book]")
{
    StoreFixture f(2);
    f.apply(RecordSpeeds{{speedOf("t1", 300, 5), speedOf("t2", 0, 5)}, 0});
    f.apply(RecordSpeeds{{speedOf("t1", -200, 7)}, 0});
    f.apply(ForgetIncarnation{f.incarnation(1)});
    WorkflowStore later;
    REQUIRE(later.restore(f.store.snapshot()));
    REQUIRE(later.speeds().count("t1") == 1);
    CHECK(later.speeds().at("t1").logSlowness == -200);
    f.apply(RecordSpeeds{{}, 8});
    CHECK(f.store.speeds().count("t1") == 0);
    CHECK(f.store.speeds().count("t2") == 1); // still registered
    std::vector<TargetSpeed> many;
    for (std::size_t i = 0; i < 2 * WorkflowStore::maxUnregisteredSpeeds; ++i)
        many.push_back(speedOf("x" + std::to_string(i), 0, 9));
    f.apply(RecordSpeeds{many, 0});
    CHECK(f.store.speeds().size() <= 4 + WorkflowStore::maxUnregisteredSpeeds);
}

TEST_CASE("a snapshot without learned speeds has the format of the previous version", "[book]")
{
    StoreFixture f;
    f.accept({f.gang(2)});
    const std::string before = f.store.snapshot();
    constexpr std::size_t formatAt = 10;
    CHECK(before.at(formatAt) == 3);
    WorkflowStore restored;
    REQUIRE(restored.restore(before));
    CHECK(restored.speeds().empty());
    f.apply(RecordSpeeds{{speedOf("t1", 300, 5)}, 0});
    CHECK(f.store.snapshot().at(formatAt) == 4);
    REQUIRE(restored.restore(f.store.snapshot()));
    CHECK(restored.snapshot() == f.store.snapshot());
}
