#include "statefixture.h"

using namespace guavavalve;

TEST_CASE("a job is accepted, placed and finished", "[state]")
{
    StateFixture fixture;
    const TaskId task = fixture.accept(fixture.job("order-1"));
    CHECK(idValue(task) >> 56 == 3);
    REQUIRE(fixture.place(task, 1).has_value());
    CHECK(fixture.state.target(fixture.targetId())->used[ResourceKind::Slots] == 1);
    const CommandOutcome ended = fixture.end(task, 1, AttemptOutcome::Succeeded);
    REQUIRE(ended.has_value());
    CHECK(std::get<AttemptRecorded>(ended.value()).state == TaskState::Succeeded);
    CHECK(fixture.ranOf(task) == Ran::Yes);
    CHECK(fixture.state.jobOf(task)->payload.empty());
    CHECK(fixture.state.target(fixture.targetId())->used == Resources());
    CHECK(fixture.state.verifyCounts().has_value());
}

// A caller loses the answer to its order and resends it. The resend must join the first job, or the
// order would be shipped twice. Another request with the same key is rejected.
TEST_CASE("a resend joins the first job and another request with its key is rejected", "[state]")
{
    StateFixture fixture;
    const AcceptJob first = fixture.job("order-1");
    const TaskId task = fixture.accept(first);
    AcceptJob again = fixture.job("order-1");
    const CommandOutcome joined = fixture.state.apply(again);
    REQUIRE(joined.has_value());
    CHECK(std::get<JobAccepted>(joined.value()).joined);
    CHECK(idValue(std::get<JobAccepted>(joined.value()).job) == idValue(task));
    again.digest = "another";
    CHECK(codeOf(fixture.state.apply(again)) == ErrorCode::Conflict);
    CHECK(fixture.state.jobs().size() == 1);
    // The same idempotency key of another team is independent.
    CHECK(fixture.state.apply(fixture.job("order-1", "tours")).has_value());
}

// An operator withdraws a key while its holder still submits jobs: further jobs are rejected, and
// those accepted before continue.
TEST_CASE("a job is accepted only with a key of its own team that is not withdrawn", "[state]")
{
    StateFixture fixture;
    AcceptJob foreign = fixture.job("a");
    foreign.keyId = "tours-key";
    CHECK(codeOf(fixture.state.apply(foreign)) == ErrorCode::Unauthenticated);
    const TaskId task = fixture.accept(fixture.job("b"));
    REQUIRE(fixture.withdraw("mill-key").has_value());
    CHECK(codeOf(fixture.state.apply(fixture.job("c"))) == ErrorCode::Unauthenticated);
    CHECK(fixture.place(task, 1).has_value());
    CHECK(fixture.state.configuration().key("mill-key")->keyedHash.empty());
}

// A target's process is killed while it runs a schedule build and an unrepeatable confirmation. The
// build runs again; the confirmation may have happened, so it must end as unknown, never as not
// run.
TEST_CASE("a new incarnation requeues repeatable tasks and ends others as unknown", "[state]")
{
    StateFixture fixture;
    const TaskId build = fixture.accept(fixture.job("build"));
    AcceptJob once = fixture.job("confirmation");
    once.repeatable = false;
    const TaskId confirmation = fixture.accept(once);
    REQUIRE(fixture.place(build, 1).has_value());
    REQUIRE(fixture.place(confirmation, 1).has_value());
    REQUIRE(fixture.registerTarget("t1", 2).has_value());
    CHECK(fixture.stateOf(build) == TaskState::Waiting);
    CHECK(fixture.stateOf(confirmation) == TaskState::Unknown);
    CHECK(fixture.ranOf(confirmation) == Ran::Unknown);
    CHECK(codeOf(fixture.place(build, 1)) == ErrorCode::Conflict);
    CHECK(fixture.place(build, 2).has_value());
    CHECK(codeOf(fixture.registerTarget("t1", 1)) == ErrorCode::Conflict);
    CHECK(fixture.state.verifyCounts().has_value());
}

// A target is partitioned, its lease expires, and it reconnects. An entry instance that was
// suspended in the meantime sends a start request from before the expiry. If the target kept its
// incarnation, it would start the task, which by now is placed elsewhere, and the task would run
// twice.
TEST_CASE("a target whose lease expired can register only with a new incarnation", "[state]")
{
    StateFixture fixture;
    REQUIRE(fixture.registerTarget("t2", 1).has_value());
    const TaskId task = fixture.accept(fixture.job("a"));
    REQUIRE(fixture.place(task, 1).has_value());
    LapseTarget lapse;
    lapse.target = fixture.targetId();
    lapse.incarnation = 1;
    REQUIRE(fixture.state.apply(lapse).has_value());
    CHECK(fixture.stateOf(task) == TaskState::Waiting);
    CHECK(codeOf(fixture.place(task, 2)) == ErrorCode::Conflict);
    REQUIRE(fixture.place(task, 2, "t2").has_value());
    CHECK(codeOf(fixture.registerTarget("t1", 1)) == ErrorCode::Conflict);
    CHECK(fixture.registerTarget("t1", 2).has_value());
    CHECK(codeOf(fixture.end(task, 1, AttemptOutcome::Succeeded)) == ErrorCode::Conflict);
    CHECK(codeOf(fixture.state.apply(lapse)) == ErrorCode::Conflict);
}

// An entry instance receives the complete answer of a confirmation but is partitioned before it can
// report it. Meanwhile the target's lease expires and the task ends as unknown. The late report
// must still be recorded.
TEST_CASE("an answer that arrives after the lease expired is recorded once", "[state]")
{
    StateFixture fixture;
    AcceptJob once = fixture.job("confirmation");
    once.repeatable = false;
    const TaskId confirmation = fixture.accept(once);
    const TaskId build = fixture.accept(fixture.job("build"));
    REQUIRE(fixture.place(confirmation, 1).has_value());
    REQUIRE(fixture.place(build, 1).has_value());
    LapseTarget lapse;
    lapse.target = fixture.targetId();
    lapse.incarnation = 1;
    REQUIRE(fixture.state.apply(lapse).has_value());
    REQUIRE(fixture.end(confirmation, 1, AttemptOutcome::Succeeded).has_value());
    REQUIRE(fixture.end(build, 1, AttemptOutcome::Succeeded).has_value());
    CHECK(fixture.stateOf(confirmation) == TaskState::Succeeded);
    CHECK(fixture.stateOf(build) == TaskState::Succeeded);
    CHECK(fixture.end(build, 1, AttemptOutcome::Succeeded).has_value());
    CHECK(codeOf(fixture.end(build, 1, AttemptOutcome::Failed)) == ErrorCode::Conflict);
    CHECK(fixture.state.verifyCounts().has_value());
}

TEST_CASE("a late answer does not revive a task that was cancelled meanwhile", "[state]")
{
    StateFixture fixture;
    const TaskId task = fixture.accept(fixture.job("build"));
    REQUIRE(fixture.place(task, 1).has_value());
    REQUIRE(fixture.registerTarget("t1", 2).has_value());
    CancelJob cancel;
    cancel.job = static_cast<JobId>(idValue(task));
    REQUIRE(fixture.state.apply(cancel).has_value());
    CHECK(codeOf(fixture.end(task, 1, AttemptOutcome::Succeeded)) == ErrorCode::Conflict);
    CHECK(fixture.stateOf(task) == TaskState::Cancelled);
    CHECK(fixture.ranOf(task) == Ran::Unknown);
}

TEST_CASE("an unrepeatable task is placed again if its attempt never started", "[state]")
{
    StateFixture fixture;
    AcceptJob once = fixture.job("confirmation");
    once.repeatable = false;
    const TaskId task = fixture.accept(once);
    REQUIRE(fixture.place(task, 1).has_value());
    REQUIRE(fixture.end(task, 1, AttemptOutcome::NeverStarted).has_value());
    CHECK(fixture.stateOf(task) == TaskState::Waiting);
    CHECK(fixture.ranOf(task) == Ran::No);
    REQUIRE(fixture.place(task, 2).has_value());
    REQUIRE(fixture.end(task, 2, AttemptOutcome::Stopped).has_value());
    CHECK(fixture.stateOf(task) == TaskState::Unknown);
    CHECK(fixture.ranOf(task) == Ran::Yes);
}

TEST_CASE("no task is placed beyond a target's resources or a team's limit", "[state]")
{
    StateFixture fixture;
    AcceptJob job = fixture.job("many");
    job.tasks = 10;
    const TaskId first = fixture.accept(job);
    for (std::uint64_t i = 0; i < 6; ++i)
        REQUIRE(fixture.place(static_cast<TaskId>(idValue(first) + i), 1).has_value());
    const auto seventh = static_cast<TaskId>(idValue(first) + 6);
    CHECK(codeOf(fixture.place(seventh, 1)) == ErrorCode::LimitExceeded);
    AcceptJob wide = fixture.job("wide", "tours");
    wide.need = Resources{{1000, 1024, 0, 3, 1}};
    CHECK(codeOf(fixture.place(fixture.accept(wide), 1)) == ErrorCode::LimitExceeded);
    // Lowering a limit below what is running stops no running task and allows no further placement.
    REQUIRE(fixture.write("team.mill", 1, R"({"limit": {"slots": 2}})").has_value());
    REQUIRE(fixture.end(first, 1, AttemptOutcome::Succeeded).has_value());
    CHECK(codeOf(fixture.place(seventh, 1)) == ErrorCode::LimitExceeded);
    CHECK(fixture.state.team(job.team)->placedTasks == 5);
}

TEST_CASE("a gang is placed completely or not at all", "[state]")
{
    StateFixture fixture;
    REQUIRE(fixture.registerTarget("t2", 1).has_value());
    AcceptJob job = fixture.job("gang", "tours");
    job.workClass = WorkClass::Gang;
    job.tasks = 3;
    job.need = Resources{{1000, 1024, 0, 4, 1}};
    const TaskId first = fixture.accept(job);
    const auto second = static_cast<TaskId>(idValue(first) + 1);
    const auto third = static_cast<TaskId>(idValue(first) + 2);
    CHECK(codeOf(fixture.place(first, 1)) == ErrorCode::InvalidArgument);
    PlaceGang gang;
    gang.places = {fixture.placement(first, 1), fixture.placement(second, 1),
                   fixture.placement(third, 1)};
    CHECK(codeOf(fixture.state.apply(gang)) == ErrorCode::LimitExceeded);
    CHECK(fixture.state.target(fixture.targetId())->used == Resources());
    gang.places.pop_back();
    CHECK(codeOf(fixture.state.apply(gang)) == ErrorCode::Conflict);
    gang.places.push_back(fixture.placement(second, 1, "t2"));
    CHECK(codeOf(fixture.state.apply(gang)) == ErrorCode::InvalidArgument);
    gang.places.back() = fixture.placement(third, 1, "t2");
    CHECK(fixture.state.apply(gang).has_value());
    CHECK(fixture.state.verifyCounts().has_value());
}

TEST_CASE("cancelling a job ends waiting tasks at once and placed ones with their attempts",
          "[state]")
{
    StateFixture fixture;
    AcceptJob job = fixture.job("two");
    job.tasks = 2;
    const TaskId first = fixture.accept(job);
    const auto second = static_cast<TaskId>(idValue(first) + 1);
    REQUIRE(fixture.place(first, 1).has_value());
    CancelJob cancel;
    cancel.job = static_cast<JobId>(idValue(first));
    cancel.team = fixture.state.teamNamed("tours")->id;
    CHECK(codeOf(fixture.state.apply(cancel)) == ErrorCode::NotFound);
    cancel.team = job.team;
    REQUIRE(fixture.state.apply(cancel).has_value());
    CHECK(fixture.stateOf(second) == TaskState::Cancelled);
    CHECK(fixture.ranOf(second) == Ran::No);
    CHECK(fixture.stateOf(first) == TaskState::Placed);
    REQUIRE(fixture.end(first, 1, AttemptOutcome::Stopped).has_value());
    CHECK(fixture.stateOf(first) == TaskState::Cancelled);
    CHECK(fixture.ranOf(first) == Ran::Yes);
    ForgetJobs forget;
    forget.jobs = {cancel.job};
    REQUIRE(fixture.state.apply(forget).has_value());
    CHECK(fixture.state.jobs().empty());
    CHECK(fixture.state.jobByIdempotencyKey(job.team, "two") == nullptr);
}

TEST_CASE("a job refused after its acceptance records why and that it has not run", "[state]")
{
    StateFixture fixture;
    const TaskId task = fixture.accept(fixture.job("late"));
    RefuseJob refuse;
    refuse.job = static_cast<JobId>(idValue(task));
    refuse.message = "it could not start by its deadline";
    REQUIRE(fixture.state.apply(refuse).has_value());
    CHECK(fixture.stateOf(task) == TaskState::Cancelled);
    CHECK(fixture.ranOf(task) == Ran::No);
    CHECK(fixture.state.jobOf(task)->refusal == refuse.message);
    CHECK(codeOf(fixture.state.apply(refuse)) == ErrorCode::Conflict);
}

// A controller that does not yet know that it has been deposed proposes a job with an ID that its
// successor has already assigned. If this were accepted, it would overwrite the other job.
TEST_CASE("a job ID that is in use is rejected and a gap is allowed", "[state]")
{
    StateFixture fixture;
    const AcceptJob stale = fixture.job("stale");
    fixture.accept(fixture.job("new"));
    CHECK(codeOf(fixture.state.apply(stale)) == ErrorCode::Conflict);
    AcceptJob ahead = fixture.job("ahead");
    ahead.first = static_cast<JobId>(idValue(ahead.first) + 10);
    CHECK(fixture.state.apply(ahead).has_value());
    AcceptJob otherShard = fixture.job("other");
    otherShard.first = static_cast<JobId>((std::uint64_t{4} << 56) + 1000);
    CHECK(codeOf(fixture.state.apply(otherShard)) == ErrorCode::Conflict);
    CHECK(codeOf(fixture.state.apply(CommandBatch{4, {fixture.job("x")}}).front())
          == ErrorCode::InvalidArgument);
}
