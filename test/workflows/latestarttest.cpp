#include <catch2/catch.hpp>

#include "workflows/simulation.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr WorkflowId job = static_cast<WorkflowId>(1);
/// Longer than the lease that a controller waits for.
constexpr Milliseconds longAbsence{7500};

/// Two targets. The start of a task of 14 s has been sent to one of them and is held up; that
/// target has crashed.
struct LateStartFixture : Simulation
{
    explicit LateStartFixture(bool lasts = false)
        : Simulation(1, 2, 4000)
    {
        spdlog::set_level(std::getenv("GUAVAVALVE_LOG") ? spdlog::level::info : spdlog::level::off);
        this->fleet.workOf = [](const TaskAddress &) { return Milliseconds(14000); };
        this->fleet.holdsUpStarts = true;
        StepSpec step = StoreFixture::step(1);
        step.longRunning = lasts;
        this->submit(job, {step});
        this->loop.runFor(Milliseconds(50));
        this->fleet.holdsUpStarts = false;
        this->target = this->placedOn();
        this->fleet.crash(this->target);
    }

    std::string placedOn()
    {
        return this->machine.read([](const WorkflowStore &store) {
            const IncarnationId placed = store.find(job)->task({{job, 0, 0}, 0})->incarnation;
            const IncarnationRecord *record = store.find(placed);
            return record == nullptr ? std::string() : record->identity.name;
        });
    }

    void checkFenced()
    {
        REQUIRE_FALSE(this->fleet.heldUpReplies.empty());
        CHECK(std::count(this->fleet.heldUpReplies.begin(), this->fleet.heldUpReplies.end(),
                         OrderReply::Fenced)
              == static_cast<std::ptrdiff_t>(this->fleet.heldUpReplies.size()));
        this->checkOutcome();
    }

    void checkOutcome()
    {
        this->runFor(Milliseconds(45000));
        CHECK(this->fleet.violation.empty());
        CHECK(this->stateOf(job) == WorkflowState::Completed);
    }

    std::string target;
};

} // namespace

// Guards against two runs of a task: its start reaches the later incarnation of a target after the
// lease has expired and the task was started elsewhere.
TEST_CASE_METHOD(LateStartFixture, "a late start does not act on a later incarnation", "[fence]")
{
    this->runFor(longAbsence);
    this->restart(this->target);
    this->runFor(Milliseconds(1000));
    SECTION("the first one") {}
    SECTION("the second one")
    {
        this->fleet.crash(this->target);
        this->runFor(Milliseconds(1000));
        this->restart(this->target);
        this->runFor(Milliseconds(100));
    }
    SECTION("under a new controller")
    {
        this->changeController(Milliseconds(0));
        this->runFor(Milliseconds(500));
    }
    this->fleet.deliverHeldUp();
    this->checkFenced();
}

// Guards against a later incarnation that nobody polls since its reports do not arrive.
TEST_CASE_METHOD(LateStartFixture,
                 "a late start does not act on a later incarnation that is unheard", "[fence]")
{
    this->loop.runFor(longAbsence);
    this->restartUnheard(this->target);
    this->loop.runFor(Milliseconds(1800));
    this->fleet.deliverHeldUp();
    this->checkFenced();
}

// Guards against a start that arrives before any order of the controller could: the task must not
// run elsewhere by then.
TEST_CASE_METHOD(LateStartFixture, "a task waits while a later incarnation may still start it",
                 "[fence]")
{
    this->runFor(longAbsence);
    CHECK(this->placedOn() == this->target);
    this->restart(this->target);
    this->fleet.deliverHeldUp();
    CHECK(this->fleet.heldUpReplies.front() == OrderReply::Done);
    this->checkOutcome();
}

// Guards against a task that waits for a target which never returns.
TEST_CASE_METHOD(LateStartFixture, "a task starts elsewhere once its start can no longer arrive",
                 "[fence]")
{
    const SessionLimits limits;
    this->runFor(limits.startTimeout + limits.longestOrderDelay + Milliseconds(500));
    CHECK(this->fleet.starts == 1);
    CHECK(this->placedOn() != this->target);
}

namespace {

/// Two targets. One has restarted under its name without being heard of, has carried out the start
/// of a task for the earlier incarnation, and has been cut off; another controller has taken over.
struct CutRebirthFixture : Simulation
{
    CutRebirthFixture()
        : Simulation(1, 2, 4000)
    {
        spdlog::set_level(std::getenv("GUAVAVALVE_LOG") ? spdlog::level::info : spdlog::level::off);
        this->fleet.workOf = [](const TaskAddress &) { return Milliseconds(14000); };
        this->session.lease = Milliseconds(3200); // shorter than the longest
        this->changeController(Milliseconds(0));
        this->runFor(Milliseconds(1000));
        for (const std::string &name : this->fleet.names()) {
            this->fleet.crash(name);
            this->restartUnheard(name);
            this->fleet.cut(name, true); // its answers are lost
        }
        this->submit(job, {StoreFixture::step(1)});
        this->loop.runFor(Milliseconds(100));
        REQUIRE(this->fleet.starts == 1);
        const std::string reborn = this->machine.read([](const WorkflowStore &store) {
            return store.find(store.find(job)->task({{job, 0, 0}, 0})->incarnation)->identity.name;
        });
        for (const std::string &name : this->fleet.names()) {
            if (name != reborn) {
                this->fleet.heal(name);
                this->announce(name);
            }
        }
        this->fleet.cut(reborn, false);
        this->reborn = reborn;
    }

    std::string reborn;
};

} // namespace

// Guards against a task that lasts and is down for seconds longer than the lease requires.
TEST_CASE("a task that lasts starts elsewhere once the lease has expired", "[fence]")
{
    LateStartFixture fixture(true);
    fixture.runFor(SessionLimits().lease + Milliseconds(1000));
    CHECK(fixture.fleet.starts == 1);
    CHECK(fixture.placedOn() != fixture.target);
}

// Guards against two runs of a task: the later incarnation keeps the run for the longest lease that
// it accepts, since the end of the lease in the start is a time on the earlier one's clock.
TEST_CASE_METHOD(CutRebirthFixture, "a run that a later incarnation may keep is not started again",
                 "[fence]")
{
    SECTION("under the same controller") {}
    SECTION("under a new controller")
    {
        this->changeController(Milliseconds(0));
    }
    this->runFor(Milliseconds(9000));
    this->fleet.heal(this->reborn);
    this->announce(this->reborn);
    this->runFor(Milliseconds(40000));
    CHECK(this->fleet.violation.empty());
    CHECK(this->stateOf(job) == WorkflowState::Completed);
}

// Guards against two runs of a task: a start for the earlier incarnation has given the later one
// the longest lease, since its end is a time on the earlier one's clock, and no order shortens it.
TEST_CASE("a lease that was meant for an earlier incarnation is waited for", "[fence]")
{
    spdlog::set_level(std::getenv("GUAVAVALVE_LOG") ? spdlog::level::info : spdlog::level::off);
    Simulation simulation(1, 2, 4000);
    simulation.fleet.workOf = [](const TaskAddress &) { return Milliseconds(14000); };
    simulation.session.lease = Milliseconds(3200); // shorter than the longest
    simulation.changeController(Milliseconds(0));
    simulation.runFor(Milliseconds(20000));
    for (const std::string &name : simulation.fleet.names()) {
        simulation.fleet.crash(name);
        simulation.restartUnheard(name);
    }
    simulation.submit(job, {StoreFixture::step(2)});
    simulation.loop.runFor(Milliseconds(100));
    REQUIRE(simulation.fleet.starts > 0);
    for (const std::string &name : simulation.fleet.names())
        simulation.announce(name);
    simulation.submit(static_cast<WorkflowId>(2), {StoreFixture::step(4)});
    simulation.runFor(Milliseconds(1000)); // the tasks that are settled have been started again
    simulation.controller().cancel(static_cast<WorkflowId>(2),
                                   [](const Result<CommandOutcome> &) {});
    simulation.runFor(Milliseconds(300)); // the other target has room
    SECTION("under the same controller") {}
    SECTION("under a new controller")
    {
        simulation.changeController(Milliseconds(0));
        simulation.runFor(Milliseconds(100));
    }
    simulation.fleet.cut("t1", false);
    simulation.runFor(Milliseconds(9000));
    simulation.fleet.heal("t1");
    simulation.runFor(Milliseconds(60000));
    CHECK(simulation.fleet.violation.empty());
    CHECK(simulation.isAllOver());
}

// Guards against two runs of a task: a controller that leads some seconds after the placement holds
// the run for the shorter lease alone.
TEST_CASE("a run that a later incarnation may keep is not started again after some seconds",
          "[fence]")
{
    spdlog::set_level(std::getenv("GUAVAVALVE_LOG") ? spdlog::level::info : spdlog::level::off);
    Simulation simulation(1, 2, 4000);
    simulation.fleet.workOf = [](const TaskAddress &) { return Milliseconds(14000); };
    simulation.session.lease = Milliseconds(3200); // shorter than the longest
    simulation.session.longestLease = Milliseconds(10000);
    simulation.fleet.longestLease = Milliseconds(10000);
    simulation.changeController(Milliseconds(0));
    simulation.runFor(Milliseconds(20000));
    for (const std::string &name : simulation.fleet.names()) {
        simulation.fleet.crash(name);
        simulation.restartUnheard(name);
        simulation.fleet.cut(name, true); // its answers are lost
    }
    simulation.submit(job, {StoreFixture::step(1)});
    simulation.loop.runFor(Milliseconds(100));
    REQUIRE(simulation.fleet.starts == 1);
    const std::string reborn = simulation.machine.read([](const WorkflowStore &store) {
        return store.find(store.find(job)->task({{job, 0, 0}, 0})->incarnation)->identity.name;
    });
    for (const std::string &name : simulation.fleet.names()) {
        if (name != reborn) {
            simulation.fleet.heal(name);
            simulation.announce(name);
        }
    }
    simulation.fleet.cut(reborn, false);
    SECTION("by the next controller")
    {
        simulation.runFor(Milliseconds(3000));
    }
    SECTION("by the one after the next")
    {
        simulation.changeController(Milliseconds(0));
        simulation.runFor(Milliseconds(3000));
    }
    simulation.changeController(Milliseconds(0));
    simulation.runFor(Milliseconds(12000));
    CHECK(simulation.fleet.starts == 2); // it does not wait for a target that does not return
    simulation.fleet.heal(reborn);
    simulation.announce(reborn);
    simulation.runFor(Milliseconds(40000));
    CHECK_THAT(simulation.fleet.violation, Catch::Equals(""));
    CHECK(simulation.stateOf(job) == WorkflowState::Completed);
}

// Guards against a task that waits for the longest lease whenever its target is lost, since a
// controller had adopted its run long before.
TEST_CASE("an adopted run that its target has listed is lost with its lease", "[fence]")
{
    spdlog::set_level(std::getenv("GUAVAVALVE_LOG") ? spdlog::level::info : spdlog::level::off);
    Simulation simulation(1, 2, 4000);
    simulation.fleet.workOf = [](const TaskAddress &) { return Milliseconds(60000); };
    simulation.session.lease = Milliseconds(3200);
    simulation.session.longestLease = Milliseconds(10000);
    simulation.fleet.longestLease = Milliseconds(10000);
    simulation.changeController(Milliseconds(0));
    simulation.submit(job, {StoreFixture::step(1)});
    simulation.runFor(Milliseconds(4000));
    simulation.changeController(Milliseconds(0));
    simulation.runFor(Milliseconds(20000));
    REQUIRE(simulation.fleet.starts == 1);
    const std::string target = simulation.machine.read([](const WorkflowStore &store) {
        return store.find(store.find(job)->task({{job, 0, 0}, 0})->incarnation)->identity.name;
    });
    simulation.fleet.cut(target, false);
    simulation.runFor(simulation.session.lease + simulation.session.maxHoldWait
                      + simulation.session.orderTimeout + Milliseconds(1000));
    CHECK(simulation.fleet.starts == 2);
    CHECK_THAT(simulation.fleet.violation, Catch::Equals(""));
}
