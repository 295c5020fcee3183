#pragma once

#include "core/ids.h"

#include <vector>

namespace guavavalve {

/// Forgets finished jobs and their idempotency keys; jobs that are unknown or have not finished
/// are left alone.
struct ForgetJobs
{
    s; ///< t

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->s);
    }
};

} // namespace guavavalve
