#include "workflows/randomrounds.h"

#include "workflows/storefixture.h"

#include <catch2/catch.hpp>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <vector>

namespace guavavalve::workflows {

namespace {

std::vector<StepSpec> randomSteps(std::mt19937_64 &random, int maxSteps)
{
    std::vector<StepSpec> steps;
    const auto count = std::uniform_int_distribution<>(1, maxSteps)(random);
    for (int i = 0; i < count; ++i) {
        const auto tasks =
            static_cast<std::uint16_t>(std::uniform_int_distribution<>(1, 4)(random));
        const bool isGang = std::uniform_int_distribution<>(0, 3)(random) == 0;
        StepSpec step = isGang ? StoreFixture::gang(tasks) : StoreFixture::step(tasks);
        if (i > 0)
            step.dependencies = {static_cast<std::uint16_t>(i - 1)};
        steps.push_back(step);
    }
    return steps;
}

} // namespace

void runSeeds(std::uint64_t defaultCount, const std::function<void(std::uint64_t seed)> &runSeed)
{
    spdlog::set_level(spdlog::level::off);
    const char *wanted = std::getenv("GUAVAVALVE_SEEDS");
    const std::uint64_t seeds =
        wanted == nullptr ? defaultCount : std::strtoull(wanted, nullptr, 10);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        runSeed(seed);
    }
}

std::uint64_t runRounds(Simulation &simulation, std::mt19937_64 &random, const RandomRounds &rounds)
{
    std::uint64_t lastId = 0;
    for (int i = 0; i < 60; ++i) {
        if (i % 2 == 0) {
            simulation.submit(static_cast<WorkflowId>(++lastId),
                              randomSteps(random, rounds.maxSteps));
        }
        if (std::uniform_int_distribution<>(0, rounds.roundsPerDisturbance - 1)(random) == 0)
            rounds.disturb();
        simulation.runFor(Milliseconds(std::uniform_int_distribution<>(50, 900)(random)));
    }
    return lastId;
}

std::string randomTarget(const Simulation &simulation, std::mt19937_64 &random)
{
    const std::vector<std::string> names = simulation.fleet.names();
    return names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(random)];
}

void checkOutcome(Simulation &simulation, std::uint64_t seed)
{
    simulation.runFor(Milliseconds(90000));
    CHECK(simulation.fleet.violation.empty());
    if (!simulation.fleet.violation.empty())
        WARN("seed " << seed << ": " << simulation.fleet.violation);
    CHECK(simulation.isAllOver());
}

} // namespace guavavalve::workflows
