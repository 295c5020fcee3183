#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <cstdint>

namespace guavavalve {

/// How one team stands.
struct TeamStatistics
{
    TeamId team = TeamId::None;
    double share = 0.0; ///< dominant share of the fleet, 0 to 1
    double fairShare =
        0.0; ///< dominant share that its weight entitles it to, given everyone's demand
    Resources placed;
    Resources limit;
    std::uint32_t running = 0; ///< tasks placed
    std::uint32_t waiting = 0; ///< tasks waiting
};

} // namespace guavavalve
