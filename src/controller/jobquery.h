#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// Payload of Method::JobStatus and Method::CancelJob.
struct JobQuery
{
    std::string team; ///< the team that must own the job
    JobId job = JobId::None;
    bool awaitEnd = false;
    std::int64_t waitMs = 0; ///< how long the reply may be held back while awaiting the end

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->team, this->job, this->awaitEnd, this->waitMs);
    }
};

} // namespace guavavalve
