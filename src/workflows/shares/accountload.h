#pragma once

#include "core/resources.h"

#include <array>
#include <cstddef>

namespace guavavalve::workflows {

/// What client accounts share: the resources of targets, and the instances' time for admission
/// queries.
inline constexpr std::size_t sharedKindCount = resourceKindCount + 1;
inline constexpr std::size_t queryTimeKind = resourceKindCount;

/// An amount of each shared kind. Query time is in milliseconds of an instance per second.
using SharedAmounts = std::array<double, sharedKindCount>;

/// What one client account has and wants in one queue.
struct AccountLoad
{
    Resources placed;
    std::size_t placedTasks = 0;
    Resources waiting; ///< needed by its ready tasks without a place
    std::size_t waitingTasks = 0;
    double queryMs = 0.0; ///< query time reserved for it by this plan
    double waitingQueryMs = 0.0; ///< of queries that its steps still need before they can start
};

} // namespace guavavalve::workflows
