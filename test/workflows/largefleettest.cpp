#include <catch2/catch.hpp>

#include "workflows/simulation.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr unsigned largeFleet = 1000;

/// Submits workflows of one step: single tasks, and every fourth one a gang.
void submitMany(Simulation &simulation, std::uint64_t &lastId, int count)
{
    for (int i = 0; i < count; ++i) {
        const bool isGang = i % 4 == 0;
        const StepSpec step = isGang ? StoreFixture::gang(20) : StoreFixture::step(10);
        simulation.submit(static_cast<WorkflowId>(++lastId), {step});
    }
}

void disturbSome(Simulation &simulation, std::mt19937_64 &random)
{
    const std::vector<std::string> names = simulation.fleet.names();
    for (int i = 0; i < 10; ++i) {
        const std::string &name =
            names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(random)];
        switch (std::uniform_int_distribution<>(0, 3)(random)) {
        case 0:
            simulation.fleet.crash(name);
            break;
        case 1:
            simulation.fleet.cut(name, i % 2 == 0);
            break;
        case 2:
            simulation.fleet.heal(name);
            break;
        default:
            if (!simulation.fleet.isUp(name))
                simulation.restart(name);
        }
    }
}

void calmDown(Simulation &simulation)
{
    simulation.fleet.faults = {};
    for (const std::string &name : simulation.fleet.names()) {
        simulation.fleet.heal(name);
        if (!simulation.fleet.isUp(name))
            simulation.restart(name);
    }
}

} // namespace

// Guards against tasks that run twice or never when a controller of many targets is slow, lacks
// connections and is replaced.
TEST_CASE("a large fleet runs each task once under slow controllers that lack connections",
          "[large]")
{
    spdlog::set_level(spdlog::level::off);
    const char *wanted = std::getenv("GUAVAVALVE_LARGE_SEEDS");
    const std::uint64_t seeds = wanted == nullptr ? 1 : std::strtoull(wanted, nullptr, 10);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        Simulation simulation(seed, largeFleet);
        simulation.fleet.faults = {0.01, 0.02, 0.02, 0.02, 0.2};
        std::uint64_t lastId = 0;
        for (int round = 0; round < 6; ++round) {
            submitMany(simulation, lastId, 20);
            disturbSome(simulation, random);
            simulation.storeTime = Milliseconds(round % 2 == 0 ? 10 : 300);
            if (round % 2 == 1)
                simulation.changeController(Milliseconds(800));
            simulation.runFor(Milliseconds(1500));
        }
        calmDown(simulation);
        simulation.runFor(Milliseconds(30000));
        CHECK(simulation.fleet.violation.empty());
        CHECK(simulation.isAllOver());
    }
}

// Guards against a controller that removes healthy targets because it lacks free connections.
TEST_CASE("a controller without free connections keeps its targets", "[large]")
{
    spdlog::set_level(spdlog::level::off);
    Simulation simulation(1, largeFleet);
    simulation.fleet.faults.unsentStart = 1.0;
    std::uint64_t lastId = 0;
    submitMany(simulation, lastId, 20);
    simulation.runFor(Milliseconds(3000));
    CHECK(simulation.controller().usableTargets() == largeFleet);
    CHECK(simulation.fleet.starts == 0);
    simulation.fleet.faults.unsentStart = 0.0;
    simulation.runFor(Milliseconds(10000));
    CHECK(simulation.fleet.violation.empty());
    CHECK(simulation.isAllOver());
}

// Guards against a new controller that is fully occupied by the first polls of its targets.
TEST_CASE("a new controller spreads the first polls of its targets over time", "[large]")
{
    spdlog::set_level(spdlog::level::off);
    Simulation simulation(1, largeFleet);
    simulation.runFor(Milliseconds(2000));
    const std::size_t before = simulation.fleet.holds;
    simulation.changeController(Milliseconds(0));
    simulation.loop.runFor(Milliseconds(5));
    CHECK(simulation.fleet.holds - before < largeFleet / 2);
    simulation.runFor(Milliseconds(1000));
    CHECK(simulation.controller().usableTargets() == largeFleet);
}
