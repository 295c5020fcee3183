#include <catch2/catch.hpp>

#include "workflows/randomrounds.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

#include <random>
#include <string>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr WorkflowId job = static_cast<WorkflowId>(1);
/// Number of seeds unless GUAVAVALVE_SEEDS is set; takes a few seconds.
constexpr std::uint64_t defaultSeeds = 150;

/// Two targets. One has received the start of a task, its answer was lost, and it has restarted
/// under its name without being heard of.
struct RebirthFixture : Simulation
{
    RebirthFixture()
        : Simulation(1, 2, 4000)
    {
        spdlog::set_level(std::getenv("GUAVAVALVE_LOG") ? spdlog::level::info : spdlog::level::off);
        this->fleet.workOf = [this](const TaskAddress &) { return this->work; };
        this->work = Milliseconds(200);
        this->submit(static_cast<WorkflowId>(2), {StoreFixture::step(8)}); // both have listed ends
        this->runFor(Milliseconds(1000));
        this->work = Milliseconds(3000);
        this->startsBefore = this->fleet.starts;
        for (const std::string &name : this->fleet.names())
            this->fleet.cut(name, true);
        this->submit(job, {StoreFixture::step(1)});
        this->loop.runFor(Milliseconds(100));
        this->reborn = this->machine.read([](const WorkflowStore &store) {
            return store.find(store.find(job)->task({{job, 0, 0}, 0})->incarnation)->identity.name;
        });
        for (const std::string &name : this->fleet.names())
            this->fleet.heal(name);
        this->fleet.crash(this->reborn);
        this->restartUnheard(this->reborn);
    }

    void checkOutcome()
    {
        this->runFor(Milliseconds(10000));
        CHECK(this->fleet.violation.empty());
        CHECK(this->stateOf(job) == WorkflowState::Completed);
        CHECK(this->isAllOver());
        CHECK(this->machine.read(
            [](const WorkflowStore &store) { return store.incarnations().size() == 2; }));
    }

    Milliseconds work{0}; ///< of each task
    std::size_t startsBefore = 0; ///< number of starts before the job's
    std::string reborn;
};

void disturb(Simulation &simulation, std::mt19937_64 &random)
{
    const std::string name = randomTarget(simulation, random);
    const Milliseconds later(std::uniform_int_distribution<>(0, 3000)(random));
    switch (std::uniform_int_distribution<>(0, 5)(random)) {
    case 0:
        simulation.fleet.cut(name, true);
        simulation.loop.runAfter(later, [&simulation, name] { simulation.fleet.heal(name); });
        break;
    case 1:
        simulation.fleet.heal(name);
        break;
    case 2:
        simulation.changeController(Milliseconds(800));
        break;
    case 3:
        simulation.fleet.crash(name);
        simulation.restartUnheard(name);
        simulation.loop.runAfter(later, [&simulation, name] { simulation.announce(name); });
        break;
    case 4:
        simulation.drain(name);
        break;
    default:
        if (simulation.draining.count(name) == 0 || !simulation.fleet.isUp(name))
            break;
        simulation.announceEnd(name);
        simulation.runFor(later);
        simulation.fleet.crash(name);
        simulation.restart(name);
    }
}

void runSeed(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    Simulation simulation(seed);
    simulation.fleet.faults = {0.03, 0.1, 0.02, 0.05};
    RandomRounds rounds;
    rounds.disturb = [&] { disturb(simulation, random); };
    runRounds(simulation, random, rounds);
    simulation.fleet.faults = {};
    for (const std::string &name : simulation.fleet.names()) {
        simulation.fleet.heal(name);
        simulation.fleet.crash(name);
        simulation.unheard.erase(name);
        simulation.restart(name);
    }
    checkOutcome(simulation, seed);
}

} // namespace

// Guards against two runs of a task at once: its start is sent again, reaches the later
// incarnation, and the run is reported as lost with the earlier one.
TEST_CASE_METHOD(RebirthFixture, "a start that a later incarnation carries out is not run twice",
                 "[rebirth]")
{
    this->loop.runFor(Milliseconds(2500));
    this->announce(this->reborn);
    this->checkOutcome();
}

// Guards against an end that a poll for the earlier incarnation acknowledges and nobody counts.
TEST_CASE_METHOD(RebirthFixture,
                 "an end in a later incarnation is counted and not acknowledged before",
                 "[rebirth]")
{
    this->work = Milliseconds(100);
    this->loop.runFor(Milliseconds(2500)); // a poll is answered by the later incarnation
    this->announce(this->reborn);
    const std::size_t starts = this->fleet.starts;
    this->checkOutcome();
    CHECK(this->fleet.starts == starts);
}

// Guards against a copy of a start that arrives after the run was reported as lost.
TEST_CASE_METHOD(RebirthFixture,
                 "a later incarnation settles runs before their starts are sent again", "[rebirth]")
{
    this->loop.runFor(Milliseconds(300));
    this->announce(this->reborn);
    this->checkOutcome();
}

// Guards against a new leader that reports the runs of a superseded incarnation as lost.
TEST_CASE_METHOD(RebirthFixture, "a new controller settles the runs of a superseded incarnation",
                 "[rebirth]")
{
    this->loop.runFor(Milliseconds(1000)); // the later incarnation has started the task
    SECTION("it has not registered") {}
    SECTION("it registers with the new controller")
    {
        this->announce(this->reborn);
    }
    this->changeController(Milliseconds(0));
    this->loop.runFor(Milliseconds(500));
    this->announce(this->reborn);
    this->checkOutcome();
}

// Guards against a task that is never restarted: the later incarnation ends before it is heard of.
TEST_CASE_METHOD(RebirthFixture, "runs are settled although no later incarnation registers",
                 "[rebirth]")
{
    this->loop.runFor(Milliseconds(3000)); // polls have been answered by the later incarnation
    this->fleet.crash(this->reborn);
    this->runFor(Milliseconds(2000));
    CHECK(this->stateOf(job) == WorkflowState::Running);
    CHECK(this->fleet.starts == this->startsBefore + 3);
    CHECK(this->fleet.violation.empty());
}

// Guards against a task that is never restarted: nothing answers after the later incarnation.
TEST_CASE_METHOD(RebirthFixture, "runs are given up if no later incarnation answers in time",
                 "[rebirth]")
{
    this->loop.runFor(Milliseconds(100)); // no poll has been answered by the later incarnation
    this->fleet.crash(this->reborn);
    const SessionLimits limits;
    this->runFor(limits.startTimeout + limits.longestOrderDelay + Milliseconds(500));
    CHECK(this->fleet.starts == this->startsBefore + 2);
    CHECK(this->fleet.violation.empty());
}

// Guards against runs of a task in two lives of a target, and beside a departure.
TEST_CASE("no task has two runs at once when targets restart under their names or leave slowly",
          "[random]")
{
    runSeeds(defaultSeeds, runSeed);
}
