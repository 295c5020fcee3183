#pragma once

#include "core/resources.h"
#include "decisions/indexes.h"

#include <vector>

namespace guavavalve::internal {

/// A task that could be preempted, the room that this would free and its cost.
struct Victim
{
    Index task = noIndex;
    Resources room;
    double cost = 0.0;
};

/// Tasks to preempt on one target.
struct VictimSet
{
    Index target = noIndex;
    std::vector<Index> tasks;
    double cost = 0.0;
    bool sufficient = false;
};

/// The cheapest subset of \a victims that frees at least \a wanted. Exact for up to eight victims;
/// beyond that greedy: the cheapest first, and then those that turn out not to be needed are
/// removed.
VictimSet cheapestSet(std::vector<Victim> victims, const Resources &wanted);

} // namespace guavavalve::internal
