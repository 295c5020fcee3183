#include "state/statefixture.h"

using namespace guavavalve;

namespace {

constexpr AttemptNumber maxLostAttempts = 5;

/// Places the task on "t1", which then restarts.
void loseTarget(StateFixture &f, TaskId task, AttemptNumber attempt)
{
    REQUIRE(f.place(task, attempt).has_value());
    REQUIRE(f.registerTarget("t1", static_cast<Incarnation>(1 + attempt)).has_value());
}

} // namespace

TEST_CASE("a task that loses every target that starts it fails after five attempts", "[losses]")
{
    StateFixture f;
    const TaskId task = f.accept(f.job("k"));
    for (AttemptNumber attempt = 1; attempt < maxLostAttempts; ++attempt) {
        loseTarget(f, task, attempt);
        CHECK(f.stateOf(task) == TaskState::Waiting);
    }
    loseTarget(f, task, maxLostAttempts);
    CHECK(f.stateOf(task) == TaskState::Failed);
    CHECK(f.ranOf(task) == Ran::Unknown);
    CHECK(f.state.jobOf(task)->end(task)->message.find("given up") == 0);
    CHECK(f.state.verifyCounts().has_value());
}

TEST_CASE("lost attempts are counted across a snapshot", "[losses]")
{
    StateFixture f;
    const TaskId task = f.accept(f.job("k"));
    for (AttemptNumber attempt = 1; attempt < maxLostAttempts; ++attempt)
        loseTarget(f, task, attempt);
    const std::string snapshot = f.state.snapshot();
    REQUIRE(f.state.restore(snapshot).has_value());
    loseTarget(f, task, maxLostAttempts);
    CHECK(f.stateOf(task) == TaskState::Failed);
}

TEST_CASE("a service is placed again however often it loses its target", "[losses]")
{
    StateFixture f;
    AcceptJob service = f.job("k");
    service.workClass = WorkClass::Service;
    const TaskId task = f.accept(service);
    for (AttemptNumber attempt = 1; attempt <= 2 * maxLostAttempts; ++attempt)
        loseTarget(f, task, attempt);
    CHECK(f.stateOf(task) == TaskState::Waiting);
}
