#pragma once

#include "workflows/targetidentity.h"

#include <map>
#include <set>

namespace guavavalve::workflows {

/// A target's life with what is placed on it.
struct IncarnationRecord
{
    TargetIdentity identity;
    Resources used; ///< by what is placed, whether it runs, is on its way or is being stopped
    std::set<TaskAddress> placed;
    bool isDraining = false; ///< takes nothing new

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->identity, this->used, this->placed, this->isDraining);
    }
};

using IncarnationTable = std::map<IncarnationId, IncarnationRecord>;

} // namespace guavavalve::workflows
