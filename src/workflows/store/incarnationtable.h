#pragma once

#include "workflows/model/targetidentity.h"

#include <map>
#include <set>

namespace guavavalve::workflows {

/// An incarnation of a target, with the tasks that are placed on it.
struct IncarnationRecord
{
    TargetIdentity identity;
    Resources used; ///< by all placed tasks, whether running, being started or being stopped
    std::set<TaskAddress> placed;
    bool isDraining = false; ///< receives no new work

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->identity, this->used, this->placed, this->isDraining);
    }
};

using IncarnationTable = std::map<IncarnationId, IncarnationRecord>;

} // namespace guavavalve::workflows
