#pragma once

#include "workflows/model/targetidentity.h"

namespace guavavalve::workflows {

/// Registers a new incarnation of a target.
struct RegisterIncarnation
{
    TargetIdentity identity;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->identity);
    }
};

} // namespace guavavalve::workflows
