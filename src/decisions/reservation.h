#pragma once

#include "core/clock.h"
#include "decisions/indexes.h"

#include <vector>

namespace guavavalve::internal {

/// Targets kept for the head of one queue.
struct Reservation
{
    Index queue = noIndex; ///< noIndex: not in use
    Instant madeAt{};
    Instant readyAt{}; ///< when the targets are expected to have the room
    std::vector<Index> targets;
};

} // namespace guavavalve::internal
