#pragma once

#include "workflows/ids.h"

namespace guavavalve::workflows {

/// A target has said that it drains, or that it no longer does. Stored before it is acknowledged:
/// every later controller then knows it without having heard the target itself.
struct DrainLife
{
    LifeNumber life = LifeNumber::None;
    bool isDraining = true;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->life, this->isDraining);
    }
};

} // namespace guavavalve::workflows
