#pragma once

#include "core/ids.h"

namespace guavavalve {

/// Removes a target that has no tasks and takes no work, because it is lapsed, departing or
/// draining, or its failure domain is evacuated.
/// \errors NotFound; Conflict while it has tasks or takes work.
struct RetireTarget
{
    TargetId target = TargetId::None;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->target);
    }
};

} // namespace guavavalve
