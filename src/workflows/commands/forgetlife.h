#pragma once

#include "workflows/ids.h"

namespace guavavalve::workflows {

/// A life is over and nothing is placed on it any more.
struct ForgetLife
{
    LifeNumber life = LifeNumber::None;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->life);
    }
};

} // namespace guavavalve::workflows
