#pragma once

#include "decisions/ledger.h"
#include "decisions/statistics.h"

#include <vector>

namespace guavavalve::internal {

/// What one team has and would like to have.
struct TeamDemand
{
    TeamPolicy policy;
    Resources placed;
    Resources waitingNeed;
};

/// Fills in each entry's share and due; \a demands stands in the same order as the teams. The due
/// is what weighted max-min fairness over dominant shares (progressive filling, Ghodsi et al.,
/// 2011) would give of what is placed now, given what every team has placed and waiting.
/// Cost: teams times a constant.
void fillShares(Statistics &statistics, const std::vector<TeamDemand> &demands);

/// The figures of the books.
Statistics shareStatistics(const Ledger &ledger);

} // namespace guavavalve::internal
