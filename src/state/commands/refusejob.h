#pragma once

#include "core/error.h"
#include "core/ids.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// Gives up on the waiting tasks of an accepted job, such as one that can no longer start by its
/// deadline. They have not run; what is placed goes on.
/// \errors NotFound; Conflict if no task of the job waits.
struct RefuseJob
{
    JobId job = JobId::None;
    ErrorCode code = ErrorCode::DeadlineExceeded;
    std::string message; ///< for the caller to read
    std::int64_t retryAfterMs = 0; ///< when it is worth coming back; 0: no use
    std::int64_t refusedAt = 0; ///< cell time in ms, for retention only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->job, this->code, this->message, this->retryAfterMs, this->refusedAt);
    }
};

} // namespace guavavalve
