#pragma once

#include "core/ids.h"

namespace guavavalve {

/// Lets a target receive no new work, or again. What runs there is left alone.
/// \errors NotFound.
struct SetTargetDraining
{
    TargetId target = TargetId::None;
    bool draining = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->target, this->draining);
    }
};

} // namespace guavavalve
