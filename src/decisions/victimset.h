#pragma once

#include "core/resources.h"
#include "decisions/indexes.h"

#include <vector>

namespace guavavalve::internal {

/// One task that could be ended, what that would free and what it would cost.
struct Victim
{
    Index task = noIndex;
    Resources room;
    double cost = 0.0;
};

/// Tasks to end on one target.
struct VictimSet
{
    Index target = noIndex;
    std::vector<Index> tasks;
    double cost = 0.0;
    bool sufficient = false;
};

/// The cheapest set of \a victims that frees \a wanted at least: exact for up to eight victims, and
/// beyond that the cheapest first, with what turns out not to be needed dropped again.
VictimSet cheapestSet(std::vector<Victim> victims, const Resources &wanted);

} // namespace guavavalve::internal
