#pragma once

#include "controller/dispatchorder.h"
#include "core/ids.h"

#include <vector>

namespace guavavalve {

/// The reply to an accepted SubmitRequest; a refusal is an Error.
struct SubmitReply
{
    JobId job = JobId::None;
    bool joined = false; ///< the same request had been accepted before
    /// Orders for placements committed with the acceptance, which the submitting entry carries out
    /// at once.
    std::vector<DispatchOrder> dispatches;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->job, this->joined, this->dispatches);
    }
};

} // namespace guavavalve
