#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <cstdint>

namespace guavavalve {

/// Figures of one team.
struct TeamStatistics
{
    TeamId team = TeamId::None;
    double share = 0.0; ///< dominant share of the fleet, 0 to 1
    /// Dominant share that its weight entitles it to, given the demand of all teams.
    double fairShare = 0.0;
    Resources placed;
    Resources limit;
    std::uint32_t running = 0; ///< placed tasks
    std::uint32_t waiting = 0; ///< waiting tasks
};

} // namespace guavavalve
