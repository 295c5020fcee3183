#pragma once

#include "core/resourcelimit.h"
#include "core/resources.h"
#include "core/workclass.h"

#include <array>
#include <cstdint>

namespace guavavalve {

/// The cell-wide policy for one work class. A team's section may restrict it further.
struct CellClassPolicy
{
    bool enabled = true;
    std::int64_t maxRunTimeMs = 0; ///< 0: no limit
    std::int64_t startWithinMs = 0; ///< default for requests that set none; 0: no deadline
};

/// The cell-wide policy: the configuration section "cell", owned by the operators.
struct CellSection
{
    std::array<CellClassPolicy, workClassCount> classes;
    std::int64_t promptHeadroomPercent = 10; ///< of the fleet's capacity, reserved for prompt work
    std::int64_t totalShares = 0; ///< upper bound on the sum of the teams' shares; 0: no bound
    std::int64_t defaultShare = 100; ///< of a team whose section sets none
    Resources defaultLimit = unlimitedResources(); ///< of a team whose section sets none
    Resources maxTeamLimit = unlimitedResources();
    std::int64_t maxWaitingTasks = 100000; ///< per team
    std::int64_t maxTasksPerJob = 10000;
    std::int64_t maxPayloadBytes = 1048576;
    std::int64_t targetLeaseMs = 10000;
    std::int64_t driftMarginMs = 300; ///< for clock drift, added when waiting for a lease to expire
    std::int64_t quarantinePercent = 10; ///< upper bound on the quarantined part of the fleet

    const CellClassPolicy &classPolicy(WorkClass workClass) const
    {
        return this->classes[static_cast<std::size_t>(workClass)];
    }
};

} // namespace guavavalve
