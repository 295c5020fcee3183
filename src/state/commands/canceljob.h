#pragma once

#include "core/ids.h"

#include <cstdint>

namespace guavavalve {

/// Cancels a job: waiting tasks at once, placed ones when their attempt is known to be over.
/// A resend, or a job that has finished, changes nothing.
/// \errors NotFound, also if the job is not of \a team.
struct CancelJob
{
    JobId job = JobId::None;
    TeamId team = TeamId::None; ///< None: an operator asks
    std::int64_t cancelledAt = 0; ///< cell time in ms, for retention only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->job, this->team, this->cancelledAt);
    }
};

} // namespace guavavalve
