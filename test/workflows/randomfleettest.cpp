#include <catch2/catch.hpp>

#include "workflows/randomrounds.h"

#include <random>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

/// Number of seeds unless GUAVAVALVE_SEEDS is set; takes a few seconds.
constexpr std::uint64_t defaultSeeds = 150;

void disturb(Simulation &simulation, std::mt19937_64 &random)
{
    const std::string name = randomTarget(simulation, random);
    switch (std::uniform_int_distribution<>(0, 7)(random)) {
    case 0:
        simulation.fleet.crash(name);
        break;
    case 1:
        if (!simulation.fleet.isUp(name))
            simulation.restart(name);
        break;
    case 2:
        simulation.fleet.cut(name, false);
        break;
    case 3:
        simulation.fleet.cut(name, true);
        break;
    case 4:
        simulation.fleet.heal(name);
        break;
    case 5:
        simulation.changeController(Milliseconds(800));
        break;
    case 6:
        simulation.drain(name);
        break;
    default:
        if (simulation.draining.count(name) != 0 && simulation.fleet.isUp(name)) {
            simulation.leave(name);
            simulation.restart(name);
        }
    }
}

void calmDown(Simulation &simulation)
{
    simulation.fleet.faults = {};
    for (const std::string &name : simulation.fleet.names()) {
        simulation.fleet.heal(name);
        if (!simulation.fleet.isUp(name) || simulation.draining.count(name) != 0) {
            simulation.fleet.crash(name);
            simulation.restart(name);
        }
    }
}

void runSeed(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    Simulation simulation(seed);
    simulation.fleet.faults = {0.03, 0.05, 0.04, 0.05};
    RandomRounds rounds;
    rounds.disturb = [&] { disturb(simulation, random); };
    const std::uint64_t handedIn = runRounds(simulation, random, rounds);
    calmDown(simulation);
    checkOutcome(simulation, seed);
    CHECK(simulation.fleet.starts > handedIn);
}

} // namespace

TEST_CASE("no task has two runs at once under crashes, cut connections, drains and late orders",
          "[random]")
{
    // Checks the guarantees to a workflow's caller under all faults at once: orders and answers are
    // lost, orders are executed up to 12 s late, targets are cut off both ways or one way, crash
    // and restart under the same name, and drain, and controllers keep running for a while after
    // they were replaced. GUAVAVALVE_SEEDS sets the number of seeds.
    runSeeds(defaultSeeds, runSeed);
}
