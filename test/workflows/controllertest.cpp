#include <catch2/catch.hpp>

#include "workflows/simulation.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr WorkflowId job = static_cast<WorkflowId>(1);

struct Quiet
{
    Quiet()
    {
        spdlog::set_level(std::getenv("GUAVAVALVE_LOG") ? spdlog::level::info : spdlog::level::off);
    }
};

struct ControllerFixture : Quiet, Simulation
{
    ControllerFixture()
        : Simulation(1, 2, 4000)
    {}

    /// Name of the target that the task is placed on; empty: none.
    std::string targetOf(std::uint16_t index = 0)
    {
        return this->machine.read([&](const WorkflowStore &store) {
            const TaskProgress *task = store.find(job)->task({{job, 0, 0}, index});
            if (task->phase != TaskPhase::Placed)
                return std::string();
            return store.find(task->incarnation)->identity.name;
        });
    }
    RunNumber runOf()
    {
        return this->machine.read([](const WorkflowStore &store) {
            return store.find(job)->task({{job, 0, 0}, 0})->run;
        });
    }
};

} // namespace

TEST_CASE_METHOD(ControllerFixture, "a workflow runs to completion", "[controller]")
{
    this->submit(job, {StoreFixture::step(3), StoreFixture::gang(2)});
    this->runFor(Milliseconds(8000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.starts == 5);
}

TEST_CASE_METHOD(ControllerFixture,
                 "an order whose answer is lost is sent again, and its task runs once",
                 "[controller]")
{
    // A target starts the task and its answer is lost. The order is sent again with the same run
    // number, and the target only confirms it.
    this->fleet.faults.lostAnswer = 0.5;
    this->submit(job, {StoreFixture::step(1)});
    this->runFor(Milliseconds(20000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.starts == 1);
    CHECK(this->fleet.violation.empty());
}

TEST_CASE_METHOD(
    ControllerFixture,
    "the task of a silent target is started elsewhere only after its lease has expired",
    "[controller]")
{
    // A target is cut off while its task continues there. The work would be done twice if it were
    // started elsewhere before the lease has expired by the target's own clock.
    this->submit(job, {StoreFixture::step(1)});
    this->runFor(Milliseconds(100));
    const std::string first = this->targetOf();
    REQUIRE(!first.empty());
    this->fleet.cut(first, false);
    this->runFor(Milliseconds(5000));
    CHECK(this->targetOf() == first);
    this->runFor(Milliseconds(8000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.starts == 2);
    CHECK(this->fleet.violation.empty());
}

TEST_CASE_METHOD(ControllerFixture, "a target whose answers are lost does not keep its lease",
                 "[controller]")
{
    // The path is cut in one direction: polls arrive, answers do not. If every poll carried a
    // lease, the target's runs would never be over and their tasks never completed.
    this->submit(job, {StoreFixture::step(1)});
    this->runFor(Milliseconds(100));
    const std::string first = this->targetOf();
    this->fleet.cut(first, true);
    this->runFor(Milliseconds(15000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.violation.empty());
}

TEST_CASE_METHOD(ControllerFixture, "a target that restarts under its name has lost its runs",
                 "[controller]")
{
    this->submit(job, {StoreFixture::step(1)});
    this->runFor(Milliseconds(100));
    const std::string first = this->targetOf();
    this->fleet.crash(first);
    this->loop.runFor(Milliseconds(20));
    this->restart(first);
    this->runFor(Milliseconds(100));
    CHECK(this->runOf() == 2); // at once: no lease has to expire first
    this->runFor(Milliseconds(5000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.violation.empty());
}

TEST_CASE_METHOD(ControllerFixture,
                 "a new controller takes over running tasks without starting them again",
                 "[controller]")
{
    // A controller is lost while tasks are running. The next one reads the targets' lists and
    // starts nothing that is already running.
    this->submit(job, {StoreFixture::step(4)});
    this->runFor(Milliseconds(100));
    REQUIRE(this->fleet.starts == 4);
    this->changeController(Milliseconds(800));
    this->runFor(Milliseconds(8000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.starts == 4);
    CHECK(this->fleet.violation.empty());
}

TEST_CASE_METHOD(ControllerFixture, "a new controller starts work without waiting for heartbeats",
                 "[controller]")
{
    // Targets send heartbeats every 1.5 s, and those that sent them to the lost controller need
    // longer to find the next one. A controller that waited for them would start nothing for 2 to 6
    // s after each change, with all targets idle.
    this->changeController(Milliseconds(800));
    this->loop.runFor(Milliseconds(300));
    this->submit(job, {StoreFixture::step(1)});
    this->loop.runFor(Milliseconds(100));
    CHECK(this->fleet.starts == 1);
}

TEST_CASE_METHOD(ControllerFixture, "a draining target receives no new work from any controller",
                 "[controller]")
{
    this->drain("t1");
    this->runFor(Milliseconds(50));
    this->submit(job, {StoreFixture::step(4)});
    this->runFor(Milliseconds(100));
    for (std::uint16_t i = 0; i < 4; ++i)
        CHECK(this->targetOf(i) == "t2");
    this->changeController(Milliseconds(0));
    this->submit(static_cast<WorkflowId>(2), {StoreFixture::step(4)});
    this->loop.runFor(Milliseconds(1000));
    const std::size_t onDraining = this->machine.read([](const WorkflowStore &store) {
        return store.find(store.newestIncarnation("t1"))->placed.size();
    });
    CHECK(onDraining == 0);
}

TEST_CASE_METHOD(ControllerFixture,
                 "tasks of a target that left are started again when its lease has expired",
                 "[controller]")
{
    this->submit(job, {StoreFixture::step(1)});
    this->runFor(Milliseconds(100));
    this->leave(this->targetOf());
    this->runFor(Milliseconds(5900));
    CHECK(this->runOf() == 1);
    this->runFor(Milliseconds(600));
    CHECK(this->runOf() == 2);
}

TEST_CASE_METHOD(ControllerFixture, "a cancelled workflow's tasks are stopped", "[controller]")
{
    this->submit(job, {StoreFixture::step(4)});
    this->runFor(Milliseconds(60));
    REQUIRE(this->fleet.starts == 4);
    this->controller().cancel(job, [](const Result<CommandOutcome> &) {});
    this->runFor(Milliseconds(600));
    CHECK(this->stateOf(job) == WorkflowState::Cancelled);
    CHECK(this->isAllOver());
}

TEST_CASE("a target that fails all its tasks receives few of them", "[controller]")
{
    // One target of eight fails all its tasks and reports that it is healthy. Without a limit, jobs
    // go there first, one after the other, and each uses up one of its attempts, or all of them.
    Quiet quiet;
    Simulation simulation(1, 8, 4000);
    constexpr unsigned jobs = 48;
    StepSpec whole = StoreFixture::step(1);
    whole.need[ResourceKind::MilliCores] = 4000;
    for (unsigned i = 1; i <= jobs; ++i) {
        if (i == 9) // each target has completed a task by then
            simulation.fleet.failing = "t1"; // the one that is chosen when all targets are empty
        simulation.submit(static_cast<WorkflowId>(i), {whole});
        simulation.runFor(Milliseconds(i < 9 ? 50 : 500));
        if (i == 8)
            simulation.runFor(Milliseconds(6000));
    }
    simulation.runFor(Milliseconds(10000));
    for (unsigned i = 1; i <= jobs; ++i)
        CHECK(simulation.stateOf(static_cast<WorkflowId>(i)) == WorkflowState::Completed);
    CHECK(simulation.fleet.failures <= 7); // two, and one for each probation
    CHECK(simulation.fleet.violation.empty());
}

TEST_CASE("a gang does not wait for single tasks to end the probation of its targets",
          "[controller]")
{
    // Only one gang is left, which needs all eight targets, and one of these failed twice just
    // before. No single task is left that could end the target's probation.
    Quiet quiet;
    Simulation simulation(1, 8, 4000);
    StepSpec whole = StoreFixture::step(1);
    whole.need[ResourceKind::MilliCores] = 4000;
    StepSpec all = whole;
    all.tasks = 8;
    simulation.submit(static_cast<WorkflowId>(1), {all});
    simulation.runFor(Milliseconds(6000));
    simulation.fleet.failing = "t1";
    for (unsigned i = 2; i <= 3; ++i) {
        simulation.submit(static_cast<WorkflowId>(i), {whole});
        simulation.runFor(Milliseconds(i == 2 ? 6000 : 3000));
    }
    simulation.fleet.failing.clear();
    StepSpec gang = StoreFixture::gang(8);
    gang.need[ResourceKind::MilliCores] = 4000;
    simulation.submit(static_cast<WorkflowId>(9), {gang});
    simulation.runFor(Milliseconds(9000));
    CHECK(simulation.fleet.failures == 2);
    CHECK(simulation.stateOf(static_cast<WorkflowId>(9)) == WorkflowState::Completed);
}

TEST_CASE_METHOD(ControllerFixture, "a replica that does not lead rejects commands", "[controller]")
{
    this->controller().leadershipChanged(false, 0);
    bool wasRefused = false;
    this->controller().cancel(job, [&](const Result<CommandOutcome> &outcome) {
        wasRefused = !outcome && outcome.error().code == ErrorCode::NotLeader
            && outcome.error().ran == Ran::No;
    });
    CHECK(wasRefused);
}

TEST_CASE_METHOD(ControllerFixture, "tasks on a stalled target are started elsewhere",
                 "[controller]")
{
    // A target keeps answering and sending heartbeats while its tasks make no progress. Short work
    // would complete 3 to 7 s late, once the target continues. It is stopped there and started
    // elsewhere instead.
    StepSpec spec = StoreFixture::step(1);
    spec.estimatedMs = 1000;
    this->submit(job, {spec});
    this->runFor(Milliseconds(50));
    this->fleet.hanging = this->targetOf();
    REQUIRE(!this->fleet.hanging.empty());
    this->runFor(Milliseconds(7000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.starts == 2);
    CHECK(this->fleet.violation.empty());
}

// Guards against targets that are forgotten although they report, or kept although they are silent.
TEST_CASE("a target whose reports other replicas answer is not forgotten", "[controller]")
{
    Simulation simulation(1, 4);
    simulation.runFor(Milliseconds(1000));
    simulation.fleet.cut("t1", false);
    simulation.fleet.cut("t2", false);
    const IncarnationId heard = simulation.machine.read(
        [](const WorkflowStore &store) { return store.newestIncarnation("t1"); });
    for (int second = 0; second < 25; ++second) {
        simulation.controller().unchangedReportsReceived({heard, IncarnationId::None});
        simulation.loop.runFor(Milliseconds(1000));
    }
    CHECK(simulation.controller().knownTargets() == 3);
    CHECK(simulation.machine.read(
        [heard](const WorkflowStore &store) { return store.find(heard) != nullptr; }));
    simulation.loop.runFor(Milliseconds(25000));
    CHECK(simulation.controller().knownTargets() == 2);
}
