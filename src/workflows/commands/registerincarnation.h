#pragma once

#include "workflows/targetidentity.h"

namespace guavavalve::workflows {

/// A target's life is heard of for the first time.
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
