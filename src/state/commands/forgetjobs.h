#pragma once

#include "core/ids.h"

#include <vector>

namespace guavavalve {

/// Removes finished jobs and their idempotency keys, once they need not be retained any longer.
/// Unknown and unfinished jobs are skipped.
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
