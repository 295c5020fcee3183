#pragma once

#include "core/error.h"
#include "core/ids.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// Refuses the waiting tasks of an accepted job, for example because it can no longer start by its
/// deadline. These tasks end as cancelled without another attempt; placed ones continue.
/// \errors NotFound; Conflict if the job has no waiting task.
struct RefuseJob
{
    JobId job = JobId::None;
    ErrorCode code = ErrorCode::DeadlineExceeded;
    std::string message; ///< human-readable, for the caller
    std::int64_t retryAfterMs = 0; ///< when a retry may succeed; 0: a retry is pointless
    std::int64_t refusedAt = 0; ///< cell time in ms, for retention only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->job, this->code, this->message, this->retryAfterMs, this->refusedAt);
    }
};

} // namespace guavavalve
