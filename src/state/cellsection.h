#pragma once

#include "core/resourcelimit.h"
#include "core/resources.h"
#include "core/workclass.h"

#include <array>
#include <cstdint>

namespace guavavalve {

/// What the cell allows to a class of work, if the team does not ask for less.
struct CellClassPolicy
{
    bool enabled = true;
    std::int64_t maxRunTimeMs = 0; ///< 0: no limit
    std::int64_t startWithinMs = 0; ///< for requests that name none; 0: no deadline
};

/// The section "cell", owned by the operators.
struct CellSection
{
    std::array<CellClassPolicy, workClassCount> classes;
    std::int64_t promptHeadroomPercent = 10; ///< of the fleet, kept free of other classes
    std::int64_t totalShares = 0; ///< the teams' shares together may be this at most; 0: any
    std::int64_t defaultShare = 100;
    Resources defaultLimit = unlimitedResources(); ///< of a team whose section names none
    Resources maxTeamLimit = unlimitedResources();
    std::int64_t maxWaitingTasks = 100000; ///< a team
    std::int64_t maxTasksPerJob = 10000;
    std::int64_t maxPayloadBytes = 1048576;
    std::int64_t targetLeaseMs = 10000;
    std::int64_t driftMarginMs = 300; ///< added to a lease by whoever waits for its end
    std::int64_t quarantinePercent = 10; ///< the most of the fleet that may be in quarantine

    const CellClassPolicy &classPolicy(WorkClass workClass) const
    {
        return this->classes[static_cast<std::size_t>(workClass)];
    }
};

} // namespace guavavalve
