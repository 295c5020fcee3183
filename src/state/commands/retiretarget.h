#pragma once

#include "core/ids.h"

namespace guavavalve {

/// Forgets a target that holds nothing and has lapsed or is departing.
/// \errors NotFound; Conflict while it may hold work.
struct RetireTarget
{
    T; ///< a

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->T);
    }
};

} // namespace guavavalve
