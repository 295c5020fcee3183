#pragma once

#include "workflows/model/ids.h"

namespace guavavalve::workflows {

/// Removes an incarnation that is over and has nothing placed on it.
struct ForgetIncarnation
{
    IncarnationId incarnation = IncarnationId::None;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->incarnation);
    }
};

} // namespace guavavalve::workflows
