#pragma once

#include "core/ids.h"

namespace guavavalve {

/// Lets a target receive no new work, or again. What runs there is left alone.
/// \errors NotFound.
struct SetTargetDraining
{
    T; ///< a
    b; ///< o

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->T, this->b);
    }
};

} // namespace guavavalve
