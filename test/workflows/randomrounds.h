#pragma once

#include "workflows/simulation.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>

namespace guavavalve::workflows {

/// Runs \a play for each seed from 1 on: as many as GUAVAVALVE_SEEDS names, or \a usual ones.
void runSeeds(std::uint64_t usual, const std::function<void(std::uint64_t seed)> &play);

/// How rounds of random work and trouble are played.
struct RandomRounds
{
    int maxSteps = 3; ///< of a workflow
    int roundsPerDisturbance = 4; ///< one round in so many has a disturbance
    std::function<void()> disturb;
};

/// Plays sixty rounds in which every second one hands in a workflow; returns how many there were.
std::uint64_t runRounds(Simulation &simulation, std::mt19937_64 &random,
                        const RandomRounds &rounds);

/// The name of one of the fleet's targets, by chance.
std::string randomTarget(const Simulation &simulation, std::mt19937_64 &random);

/// Lets everything that was handed in come to its end; checks that it does, and that no target has
/// seen a breach.
void checkOutcome(Simulation &simulation, std::uint64_t seed);

} // namespace guavavalve::workflows
