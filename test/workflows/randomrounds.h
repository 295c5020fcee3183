#pragma once

#include "workflows/simulation.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>

namespace guavavalve::workflows {

/// Calls \a runSeed for each seed from 1 to GUAVAVALVE_SEEDS, or to \a defaultCount if that is not
/// set.
void runSeeds(std::uint64_t defaultCount, const std::function<void(std::uint64_t seed)> &runSeed);

/// Parameters of the rounds of random work and faults.
struct RandomRounds
{
    int maxSteps = 3; ///< of each workflow
    int roundsPerDisturbance = 4; ///< one round in this many has a fault, on average
    std::function<void()> disturb;
};

/// Runs sixty rounds, every second of which submits a workflow; returns the number of workflows.
std::uint64_t runRounds(Simulation &simulation, std::mt19937_64 &random,
                        const RandomRounds &rounds);

/// The name of a random target of the fleet.
std::string randomTarget(const Simulation &simulation, std::mt19937_64 &random);

/// Gives all submitted workflows time to finish; checks that they do, and that no target has seen a
/// violation.
void checkOutcome(Simulation &simulation, std::uint64_t seed);

} // namespace guavavalve::workflows
