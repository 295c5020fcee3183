#pragma once

#include "core/ids.h"

namespace guavavalve {

/// Forgets a target that holds nothing and has lapsed or is departing.
/// \errors NotFound; Conflict while it may hold work.
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
