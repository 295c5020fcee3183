#pragma once

#include "workflows/model/ids.h"

namespace guavavalve::workflows {

/// A target has reported that it drains, or that it no longer does. Stored before the report is
/// acknowledged, so that every later controller knows it without having heard from the target
/// itself.
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
