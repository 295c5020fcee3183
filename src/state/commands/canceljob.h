#pragma once

#include "core/ids.h"

#include <cstdint>

namespace guavavalve {

/// Cancels a job: waiting tasks immediately, placed ones once their attempt is known to have ended.
/// Has no effect on a job that is already cancelled or finished.
/// \errors NotFound if there is no such job or it belongs to another team.
struct CancelJob
{
    JobId job = JobId::None;
    TeamId team = TeamId::None; ///< None: requested by an operator
    std::int64_t cancelledAt = 0; ///< cell time in ms, for retention only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->job, this->team, this->cancelledAt);
    }
};

} // namespace guavavalve
