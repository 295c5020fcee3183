#pragma once

#include "core/ids.h"

namespace guavavalve {

/// Records that the lease of a target has expired: the target is now lapsed, and its attempts end
/// with outcome Lost.
/// \errors NotFound; Conflict if \a incarnation is not the current one.
struct LapseTarget
{
    TargetId target = TargetId::None;
    Incarnation incarnation = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->target, this->incarnation);
    }
};

} // namespace guavavalve
