#pragma once

#include "core/ids.h"
#include "core/resourcelimit.h"
#include "core/resources.h"

#include <cstdint>

namespace guavavalve {

/// What operators set for one team.
struct TeamPolicy
{
    TeamId team = TeamId::None;
    double weight = 1.0; ///< its share when the cell is full, against the other teams' weights
    Resources limit = unlimitedResources(); ///< the most that it may have placed
};

} // namespace guavavalve
