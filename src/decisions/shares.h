#pragma once

#include "decisions/ledger.h"
#include "decisions/statistics.h"

namespace guavavalve::internal {

/// The figures of the books, with each team's due: what weighted max-min fairness over dominant
/// shares (progressive filling, Ghodsi et al., 2011) would give it of what is placed now, given
/// what every team has placed and waiting. Cost: teams times a constant.
Statistics shareStatistics(const Ledger &ledger);

} // namespace guavavalve::internal
