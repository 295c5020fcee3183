#pragma once

#include "workflows/model/ids.h"

namespace guavavalve::workflows {

/// An incarnation that runs were lost with answers again: it had lost its connection and has not
/// crashed.
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
