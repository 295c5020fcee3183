#pragma once

#include "core/ids.h"
#include "core/resourcelimit.h"
#include "core/resources.h"

#include <cstdint>

namespace guavavalve {

/// Operator settings for one team.
struct TeamPolicy
{
    TeamId team = TeamId::None;
    double weight = 1.0; ///< share of a full cell, relative to other teams
    Resources limit = unlimitedResources(); ///< maximum of what it has placed
    /// Set by ShardedScheduler, which splits the limit into budgets: the total limit, of which
    /// `limit` is one budget. Work that exceeds the budget but not the total waits for budget
    /// instead of being refused.
    Resources totalLimit{};
    /// Set by ShardedScheduler while the team exceeds its total limit: the excess over `limit` is
    /// ended and no new task of the team starts in any shard, since budget that becomes free in
    /// one shard is not available while another shard still exceeds its own.
    bool frozen = false;
};

} // namespace guavavalve
