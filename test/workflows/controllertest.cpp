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

    /// The target that runs the job's first task; empty: none.
    std::string placeOf(std::uint16_t index = 0)
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

TEST_CASE_METHOD(ControllerFixture, "a workflow runs to its end", "[controller]")
{
    this->submit(job, {StoreFixture::step(3), StoreFixture::gang(2)});
    this->runFor(Milliseconds(8000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.starts == 5);
}

TEST_CASE_METHOD(ControllerFixture, "an order whose answer is lost is sent again and runs once",
                 "[controller]")
{
    // A target starts the task and its answer is lost. The order goes again under the same run
    // number, and the target, which has it, only says so.
    this->fleet.faults.lostAnswer = 0.5;
    this->submit(job, {StoreFixture::step(1)});
    this->runFor(Milliseconds(20000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.starts == 1);
    CHECK(this->fleet.violation.empty());
}

TEST_CASE_METHOD(ControllerFixture, "a silent target's task waits for its lease before it moves",
                 "[controller]")
{
    // A target is cut off with a task that goes on there. Its caller would see the work done twice
    // if it were started elsewhere before the target's lease is over by the target's own clock.
    this->submit(job, {StoreFixture::step(1)});
    this->runFor(Milliseconds(100));
    const std::string first = this->placeOf();
    REQUIRE(!first.empty());
    this->fleet.cut(first, false);
    this->runFor(Milliseconds(5000));
    CHECK(this->placeOf() == first);
    this->runFor(Milliseconds(8000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.starts == 2);
    CHECK(this->fleet.violation.empty());
}

TEST_CASE_METHOD(ControllerFixture, "a target that hears but is not heard loses its lease",
                 "[controller]")
{
    // The path is cut one way: questions arrive, answers do not. Each question used to carry a
    // lease, so the target's work would never have been over, and never done.
    this->submit(job, {StoreFixture::step(1)});
    this->runFor(Milliseconds(100));
    const std::string first = this->placeOf();
    this->fleet.cut(first, true);
    this->runFor(Milliseconds(15000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.violation.empty());
}

TEST_CASE_METHOD(ControllerFixture, "a target reborn under its name has lost what it ran",
                 "[controller]")
{
    this->submit(job, {StoreFixture::step(1)});
    this->runFor(Milliseconds(100));
    const std::string first = this->placeOf();
    this->fleet.crash(first);
    this->loop.runFor(Milliseconds(20));
    this->restart(first);
    this->runFor(Milliseconds(100));
    CHECK(this->runOf() == 2); // at once: no lease has to run out
    this->runFor(Milliseconds(5000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.violation.empty());
}

TEST_CASE_METHOD(ControllerFixture, "a new controller goes on with what runs", "[controller]")
{
    // A controller is lost with work under way. The next one reads the targets' lists and starts
    // nothing that runs already.
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
    // Targets beat every 1.5 s, and those that beat at the lost controller need longer to find
    // another. For 2 to 6 s after each change nothing was started, with all targets idle.
    this->changeController(Milliseconds(800));
    this->loop.runFor(Milliseconds(300));
    this->submit(job, {StoreFixture::step(1)});
    this->loop.runFor(Milliseconds(100));
    CHECK(this->fleet.starts == 1);
}

TEST_CASE_METHOD(ControllerFixture, "a draining target gets nothing new, from any controller",
                 "[controller]")
{
    this->drain("t1");
    this->runFor(Milliseconds(50));
    this->submit(job, {StoreFixture::step(4)});
    this->runFor(Milliseconds(100));
    for (std::uint16_t i = 0; i < 4; ++i)
        CHECK(this->placeOf(i) == "t2");
    this->changeController(Milliseconds(0));
    this->submit(static_cast<WorkflowId>(2), {StoreFixture::step(4)});
    this->loop.runFor(Milliseconds(1000));
    const std::size_t onDraining = this->machine.read([](const WorkflowStore &store) {
        return store.find(store.newestIncarnation("t1"))->placed.size();
    });
    CHECK(onDraining == 0);
}

TEST_CASE_METHOD(ControllerFixture, "work of a target that left is started anew at once",
                 "[controller]")
{
    this->submit(job, {StoreFixture::step(1)});
    this->runFor(Milliseconds(100));
    this->leave(this->placeOf());
    this->runFor(Milliseconds(100));
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

TEST_CASE("a target that fails everything gets little", "[controller]")
{
    // One target of eight fails what it is given, and says that it is well. Jobs went there first,
    // one after the other, and each used up a try, or all it had.
    Quiet quiet;
    Simulation cell(1, 8, 4000);
    constexpr unsigned jobs = 48;
    StepSpec whole = StoreFixture::step(1);
    whole.need[ResourceKind::MilliCores] = 4000;
    for (unsigned i = 1; i <= jobs; ++i) {
        if (i == 9) // each target has ended a task by then
            cell.fleet.failing = "t1"; // the one that is chosen when all are empty
        cell.submit(static_cast<WorkflowId>(i), {whole});
        cell.runFor(Milliseconds(i < 9 ? 50 : 500));
        if (i == 8)
            cell.runFor(Milliseconds(6000));
    }
    cell.runFor(Milliseconds(10000));
    for (unsigned i = 1; i <= jobs; ++i)
        CHECK(cell.stateOf(static_cast<WorkflowId>(i)) == WorkflowState::Completed);
    CHECK(cell.fleet.failures <= 7); // two, and one each time that it may prove itself
    CHECK(cell.fleet.violation.empty());
}

TEST_CASE("a gang does not wait for others to prove its targets", "[controller]")
{
    // The cell has run empty but for one gang that needs all eight targets, and one of these had
    // failed twice just before. No single task is left by which it could prove itself.
    Quiet quiet;
    Simulation cell(1, 8, 4000);
    StepSpec whole = StoreFixture::step(1);
    whole.need[ResourceKind::MilliCores] = 4000;
    StepSpec all = whole;
    all.tasks = 8;
    cell.submit(static_cast<WorkflowId>(1), {all});
    cell.runFor(Milliseconds(6000));
    cell.fleet.failing = "t1";
    for (unsigned i = 2; i <= 3; ++i) {
        cell.submit(static_cast<WorkflowId>(i), {whole});
        cell.runFor(Milliseconds(i == 2 ? 6000 : 3000));
    }
    cell.fleet.failing.clear();
    StepSpec gang = StoreFixture::gang(8);
    gang.need[ResourceKind::MilliCores] = 4000;
    cell.submit(static_cast<WorkflowId>(9), {gang});
    cell.runFor(Milliseconds(9000));
    CHECK(cell.fleet.failures == 2);
    CHECK(cell.stateOf(static_cast<WorkflowId>(9)) == WorkflowState::Completed);
}

TEST_CASE_METHOD(ControllerFixture, "a replica that does not lead takes nothing", "[controller]")
{
    this->controller().leadershipChanged(false, 0);
    bool wasRefused = false;
    this->controller().cancel(job, [&](const Result<CommandOutcome> &outcome) {
        wasRefused = !outcome && outcome.error().code == ErrorCode::NotLeader
            && outcome.error().ran == Ran::No;
    });
    CHECK(wasRefused);
}

TEST_CASE_METHOD(ControllerFixture, "work on a target that stands still is begun elsewhere",
                 "[controller]")
{
    // A target goes on answering and beating while its tasks stand still. Callers of short work got
    // it 3 to 7 s late, when the target went on. It is stopped there and begun elsewhere.
    StepSpec spec = StoreFixture::step(1);
    spec.estimatedMs = 1000;
    this->submit(job, {spec});
    this->runFor(Milliseconds(50));
    this->fleet.hanging = this->placeOf();
    REQUIRE(!this->fleet.hanging.empty());
    this->runFor(Milliseconds(7000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
    CHECK(this->fleet.starts == 2);
    CHECK(this->fleet.violation.empty());
}
