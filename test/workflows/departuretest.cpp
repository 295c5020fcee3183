#include <catch2/catch.hpp>

#include "workflows/simulation.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

#include <string>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr WorkflowId job = static_cast<WorkflowId>(1);
constexpr Milliseconds work{5000}; ///< of each task
constexpr Milliseconds longWork{9000}; ///< longer than a lease
constexpr Milliseconds linger{3000}; ///< between an announced end and the end itself
/// Longest lease, by the slowest clock, with the margin and the time that a tick takes to see it.
constexpr Milliseconds longestLease{6500};

/// Two targets, of which one runs a task and has announced that it drains.
struct DepartureFixture : Simulation
{
    DepartureFixture()
        : Simulation(1, 2, 4000)
    {
        spdlog::set_level(std::getenv("GUAVAVALVE_LOG") ? spdlog::level::info : spdlog::level::off);
        this->fleet.workOf = [](const TaskAddress &) { return work; };
        this->submit(job, {StoreFixture::step(1)});
        this->runFor(Milliseconds(100));
        this->leaving = this->placedOn();
        this->drain(this->leaving);
        this->runFor(Milliseconds(1000));
    }

    /// Name of the target that the task is placed on; empty: none.
    std::string placedOn()
    {
        return this->machine.read([](const WorkflowStore &store) {
            const TaskProgress *task = store.find(job)->task({{job, 0, 0}, 0});
            if (task->phase != TaskPhase::Placed)
                return std::string();
            return store.find(task->incarnation)->identity.name;
        });
    }

    std::string leaving;
};

} // namespace

// Guards against two runs of a task at once: the target does not receive the answer to its
// announcement and ends seconds later.
TEST_CASE_METHOD(DepartureFixture,
                 "a task is not started elsewhere while a leaving target still runs it",
                 "[departure]")
{
    const bool isOneWay = GENERATE(true, false);
    this->fleet.cut(this->leaving, isOneWay);
    this->runFor(Milliseconds(300));
    this->announceEnd(this->leaving);
    this->runFor(linger);
    CHECK(this->fleet.violation.empty());
    this->fleet.crash(this->leaving);
    this->runFor(longestLease + work + Milliseconds(500));
    CHECK(this->fleet.violation.empty());
    CHECK(this->stateOf(job) == WorkflowState::Completed);
}

// Guards against work that is thrown away: a target whose announcement got no answer finishes it.
TEST_CASE_METHOD(DepartureFixture, "a run that ends before its leaving target does counts",
                 "[departure]")
{
    this->runFor(Milliseconds(2000));
    this->announceEnd(this->leaving);
    this->runFor(linger);
    this->fleet.crash(this->leaving);
    this->runFor(Milliseconds(500));
    CHECK(this->fleet.violation.empty());
    CHECK(this->fleet.starts == 1);
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->controller().knownTargets() == 1);
}

// Guards against work that waits for a lease although the process that held it is known to be gone.
TEST_CASE_METHOD(
    DepartureFixture,
    "a task starts elsewhere once another target answers at the address of a leaving one",
    "[departure]")
{
    this->announceEnd(this->leaving);
    this->runFor(Milliseconds(1000));
    CHECK(this->placedOn() == this->leaving);
    this->fleet.crash(this->leaving);
    this->replace(this->leaving);
    this->loop.runFor(Milliseconds(600));
    CHECK(this->placedOn() != this->leaving);
    CHECK(this->fleet.starts == 2);
}

// Guards against work that is never restarted: a target announces its end and vanishes.
TEST_CASE_METHOD(DepartureFixture,
                 "a task starts elsewhere one lease after its leaving target vanished",
                 "[departure]")
{
    this->announceEnd(this->leaving);
    this->fleet.crash(this->leaving);
    this->runFor(longestLease);
    CHECK(this->fleet.starts == 2);
    CHECK(this->fleet.violation.empty());
}

// Guards against a leader that takes over a departure half-way and trusts an end that it did not
// see.
TEST_CASE_METHOD(DepartureFixture,
                 "a new controller waits for the lease of a target that was leaving", "[departure]")
{
    this->fleet.cut(this->leaving, true);
    this->announceEnd(this->leaving);
    this->changeController(Milliseconds(800));
    this->runFor(Milliseconds(300));
    this->announceEnd(this->leaving); // unanswered, hence repeated to the new leader
    this->runFor(linger);
    CHECK(this->fleet.violation.empty());
    this->fleet.crash(this->leaving);
    this->runFor(longestLease + work + Milliseconds(500));
    CHECK(this->fleet.violation.empty());
    CHECK(this->stateOf(job) == WorkflowState::Completed);
}

// Guards against an announcement that an instance carries out late: the tasks of the target's next
// incarnation lose their lease.
TEST_CASE_METHOD(DepartureFixture,
                 "an announcement that names no incarnation does not end one that does not drain",
                 "[departure]")
{
    this->fleet.workOf = [](const TaskAddress &) { return longWork; };
    this->fleet.crash(this->leaving);
    this->restart(this->leaving);
    this->drain(this->leaving == "t1" ? "t2" : "t1");
    this->runFor(Milliseconds(200));
    REQUIRE(this->placedOn() == this->leaving);
    this->controller().targetLeft(this->leaving, 0, [](const Result<Nothing> &) {});
    this->runFor(longWork + Milliseconds(1000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.starts == 2);
}

TEST_CASE_METHOD(DepartureFixture, "an announcement that names no incarnation ends a draining one",
                 "[departure]")
{
    this->controller().targetLeft(this->leaving, 0, [](const Result<Nothing> &) {});
    this->fleet.crash(this->leaving);
    this->runFor(longestLease);
    CHECK(this->fleet.starts == 2);
    CHECK(this->controller().knownTargets() == 1);
}
