#pragma once

#include "core/ids.h"

namespace guavavalve {

/// Makes another entry follow a placed attempt. It asks about the attempt and never starts it.
/// \errors NotFound; Conflict if the attempt is not the current one or is over.
struct ReassignDispatcher
{
    T; ///< a
    A; ///< t
    I; ///< n

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->T, this->A, this->I);
    }
};

} // namespace guavavalve
