#pragma once

#include "decisions/ledger.h"
#include "decisions/statistics.h"

#include <vector>

namespace guavavalve::internal {

/// What one team has placed and what it is waiting for.
struct TeamDemand
{
    TeamPolicy policy;
    Resources placed;
    Resources waitingNeed;
};

/// Fills in the share and fairShare of each team entry; \a demands must be in the same order as the
/// entries. The fair share is the part of the currently placed resources that weighted max-min
/// fairness over dominant shares (progressive filling, Ghodsi et al., 2011) would allot to the
/// team, given what every team has placed and waiting. Cost: linear in the number of teams.
void fillShares(Statistics &statistics, const std::vector<TeamDemand> &demands);

/// Statistics of the ledger, with the shares of all teams.
Statistics shareStatistics(const Ledger &ledger);

} // namespace guavavalve::internal
