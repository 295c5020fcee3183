#pragma once

#include "core/ids.h"

namespace guavavalve {

/// The target's lease is over: its attempts are known to be over, with outcome Lost.
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
