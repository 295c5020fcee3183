#pragma once

#include "core/ids.h"

namespace guavavalve {

/// Stops or resumes placement on a target. Running tasks are not affected.
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
