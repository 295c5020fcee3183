#pragma once

#include "workflows/ids.h"

namespace guavavalve::workflows {

/// A life that runs were lost with answers again: it was cut off and has not crashed.
struct MarkIncarnationAlive
{
    IncarnationId incarnation = IncarnationId::None;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->incarnation);
    }
};

} // namespace guavavalve::workflows
