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
    /// Set by a front that divides the limit into budgets: the whole, of which `limit` is a part.
    /// Work beyond the budget but not the whole waits for budget and is not refused.
    Resources wholeLimit{};
    /// Set by such a front while the team holds more than the whole: what is over `limit` is
    /// ended, and nothing new starts anywhere. Room that one budget regains is not free while
    /// another budget is still exceeded.
    bool frozen = false;
};

} // namespace guavavalve
