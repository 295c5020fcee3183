#pragma once

#include "core/resourcelimit.h"
#include "core/resources.h"
#include "core/workclass.h"

#include <array>
#include <cstdint>
#include <string>

namespace guavavalve {

/// A team's policy for one work class, within the bounds of the cell's policy.
struct TeamClassPolicy
{
    bool enabled = true;
    std::int64_t maxRunTimeMs = 0; ///< 0: the cell's value
    std::int64_t startWithinMs = 0; ///< default for requests that set none; 0: the cell's value
};

/// A team's policy: the configuration section "team.NAME", owned by the team. Only operators may
/// change share and limit.
struct TeamSection
{
    std::string description;
    std::string contact;
    std::int64_t share = 100; ///< weight relative to other teams when the cell is full
    Resources limit = unlimitedResources(); ///< upper limit on the resources of its placed tasks
    std::int64_t maxWaitingTasks = 0; ///< 0: the cell's value; the cell's bound applies in any case
    std::array<TeamClassPolicy, workClassCount> classes;

    const TeamClassPolicy &classPolicy(WorkClass workClass) const
    {
        return this->classes[static_cast<std::size_t>(workClass)];
    }
};

} // namespace guavavalve
