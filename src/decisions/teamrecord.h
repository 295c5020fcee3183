#pragma once

#include "core/decayingrate.h"
#include "core/resources.h"
#include "core/workclass.h"
#include "decisions/indexes.h"
#include "decisions/teampolicy.h"

#include <array>
#include <cstdint>
#include <vector>

namespace guavavalve::internal {

/// Placement proceeds in two rounds: prompt work first, then all other work.
enum class Round : std::uint8_t { Prompt, Other };

inline constexpr std::size_t roundCount = 2;

inline constexpr Round roundOf(WorkClass workClass)
{
    return workClass == WorkClass::Prompt ? Round::Prompt : Round::Other;
}

/// One team with its placed and waiting work.
struct TeamRecord
{
    TeamPolicy policy;
    bool configured = false;
    Resources placed;
    Resources waitingNeed; ///< sum over its waiting tasks, as declared
    std::uint32_t running = 0;
    std::array<std::uint32_t, workClassCount> waiting{};
    std::array<DecayingRate, workClassCount> starts;
    std::array<std::vector<Index>, roundCount> ready; ///< its queues in QueueState::Ready
    std::vector<Index> atLimit; ///< its queues in QueueState::AtLimit
    double rank = 0.0; ///< dominant share divided by weight; the lowest goes first
    std::array<bool, roundCount> ordered{}; ///< is in the ledger's order of the round

    std::uint32_t waitingTasks() const
    {
        std::uint32_t sum = 0;
        for (const std::uint32_t count : this->waiting)
            sum += count;
        return sum;
    }
};

} // namespace guavavalve::internal
