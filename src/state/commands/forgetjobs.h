#pragma once

#include "core/ids.h"

#include <vector>

namespace guavavalve {

/// Forgets finished jobs and their idempotency keys; jobs that are unknown or have not finished
/// are left alone.
struct ForgetJobs
{
    std::vector<JobId> jobs;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->jobs);
    }
};

} // namespace guavavalve
