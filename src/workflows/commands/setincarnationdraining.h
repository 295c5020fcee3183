#pragma once

#include "workflows/ids.h"

namespace guavavalve::workflows {

/// A target has said that it drains, or that it no longer does. Stored before it is acknowledged:
/// every later controller then knows it without having heard the target itself.
struct SetIncarnationDraining
{
    IncarnationId incarnation = IncarnationId::None;
    bool isDraining = true;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->incarnation, this->isDraining);
    }
};

} // namespace guavavalve::workflows
