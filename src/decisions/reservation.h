#pragma once

#include "core/clock.h"
#include "decisions/indexes.h"

#include <vector>

namespace guavavalve::internal {

/// Targets reserved for the head of one queue.
struct Reservation
{
    Index queue = noIndex; ///< noIndex: unused slot
    Instant madeAt{};
    Instant readyAt{}; ///< when the targets are expected to have enough room
    std::vector<Index> targets;
};

} // namespace guavavalve::internal
