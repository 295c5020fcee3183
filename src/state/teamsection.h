#pragma once

#include "core/resourcelimit.h"
#include "core/resources.h"
#include "core/workclass.h"

#include <array>
#include <cstdint>
#include <string>

namespace guavavalve {

/// What a team asks for its work of one class; never more than the cell allows.
struct TeamClassPolicy
{
    bool enabled = true;
    std::int64_t maxRunTimeMs = 0; ///< 0: as the cell says
    std::int64_t startWithinMs = 0; ///< for requests that name none; 0: as the cell says
};

/// The section "team.NAME", owned by that team; the operators' fields are share and limit.
struct TeamSection
{
    std::string description;
    std::string contact;
    std::int64_t share = 100; ///< weight against other teams when the cell is full
    Resources limit = unlimitedResources(); ///< the most it may have running
    std::int64_t maxWaitingTasks = 0; ///< 0: as the cell says
    std::array<TeamClassPolicy, workClassCount> classes;

    const TeamClassPolicy &classPolicy(WorkClass workClass) const
    {
        return this->classes[static_cast<std::size_t>(workClass)];
    }
};

} // namespace guavavalve
