#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <cstdint>
#include <limits>

namespace guavavalve {

/// The amount that stands for "no upper limit".
inline constexpr std::int64_t unlimitedAmount = std::numeric_limits<std::int64_t>::max() / 4;

/// No upper limit of any kind.
constexpr Resources unlimitedResources()
{
    Resources resources;
    for (std::int64_t &amount : resources.amounts)
        amount = unlimitedAmount;
    return resources;
}

/// What operators set for one team.
struct TeamPolicy
{
    TeamId team = TeamId::None;
    double weight = 1.0; ///< its share when the cell is full, against the other teams' weights
    Resources limit = unlimitedResources(); ///< the most that it may have placed
};

} // namespace guavavalve
