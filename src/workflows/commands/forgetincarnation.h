#pragma once

#include "workflows/ids.h"

namespace guavavalve::workflows {

/// A life is over and nothing is placed on it any more.
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
