#include <catch2/catch.hpp>

#include "workflows/randomrounds.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <random>
#include <string>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr WorkflowId job = static_cast<WorkflowId>(1);
constexpr std::uint64_t defaultSeeds = 60;

struct ResizeFixture : Simulation
{
    ResizeFixture()
        : Simulation(1, 2, 4000)
    {
        spdlog::set_level(spdlog::level::off);
    }

    std::size_t placedOn(const std::string &name)
    {
        return this->machine.read([&](const WorkflowStore &store) {
            return store.find(store.newestIncarnation(name))->placed.size();
        });
    }
};

void disturb(Simulation &simulation, std::mt19937_64 &random)
{
    const std::string name = randomTarget(simulation, random);
    switch (std::uniform_int_distribution<>(0, 4)(random)) {
    case 0:
        simulation.changeController(Milliseconds(800));
        break;
    case 1:
        simulation.fleet.cut(name, false);
        break;
    case 2:
        simulation.fleet.heal(name);
        break;
    default:
        simulation.resize(name, 1000 * std::uniform_int_distribution<>(0, 4)(random));
    }
}

void runSeed(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    Simulation simulation(seed);
    simulation.fleet.faults = {0.03, 0.05, 0.04, 0.05};
    RandomRounds rounds;
    rounds.maxSteps = 2;
    rounds.roundsPerDisturbance = 2;
    rounds.disturb = [&] { disturb(simulation, random); };
    runRounds(simulation, random, rounds);
    for (const std::string &name : simulation.fleet.names()) {
        simulation.fleet.heal(name);
        simulation.resize(name, 4000);
    }
    checkOutcome(simulation, seed);
}

} // namespace

TEST_CASE_METHOD(ResizeFixture, "a target that has shrunk is given no more than its new capacity",
                 "[resize]")
{
    this->resize("t1", 1000);
    this->runFor(Milliseconds(6000));
    this->submit(job, {StoreFixture::step(8)});
    this->runFor(Milliseconds(50));
    CHECK(this->placedOn("t1") == 1);
    CHECK(this->placedOn("t2") == 4);
    this->runFor(Milliseconds(30000));
    CHECK(this->fleet.violation.empty());
    CHECK(this->stateOf(job) == WorkflowState::Completed);
}

TEST_CASE_METHOD(ResizeFixture, "restored capacity is used, also by a later controller", "[resize]")
{
    this->resize("t1", 0);
    this->runFor(Milliseconds(2000));
    this->changeController(Milliseconds(800));
    this->runFor(Milliseconds(2000));
    this->submit(job, {StoreFixture::step(8)});
    this->runFor(Milliseconds(50));
    CHECK(this->placedOn("t1") == 0);
    this->resize("t1", 4000);
    this->runFor(Milliseconds(50));
    CHECK(this->placedOn("t1") == 4);
}

TEST_CASE("a placement that no longer fits after its target shrank is rejected", "[resize][book]")
{
    StoreFixture f(1);
    f.accept({f.step(2)});
    Resources room;
    room[ResourceKind::MilliCores] = 1000;
    REQUIRE(f.apply(ResizeIncarnation{f.incarnation(1), room, 5}) == CommandOutcome::Applied);
    CHECK(f.place(0, 1, {1, 1}) == CommandOutcome::Rejected);
    CHECK(f.place(0, 1, {1}) == CommandOutcome::Applied);
}

TEST_CASE("an outdated capacity report changes nothing", "[resize][book]")
{
    StoreFixture f(1);
    Resources room = f.store.find(f.incarnation(1))->identity.capacity;
    const Resources before = room;
    room[ResourceKind::MilliCores] = 1000;
    f.apply(ResizeIncarnation{f.incarnation(1), room, 5});
    WorkflowStore later;
    REQUIRE(later.restore(f.store.snapshot()));
    CHECK(later.apply({ResizeIncarnation{f.incarnation(1), before, 4}}).front()
          == CommandOutcome::Unchanged);
    CHECK(later.find(f.incarnation(1))->identity.capacity == room);
    CHECK(later.apply({ResizeIncarnation{f.incarnation(1), before, 6}}).front()
          == CommandOutcome::Applied);
}

TEST_CASE("targets that shrink and grow are never overcommitted under random faults",
          "[resize][random]")
{
    runSeeds(defaultSeeds, runSeed);
}
