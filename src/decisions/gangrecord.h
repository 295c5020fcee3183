#pragma once

#include "core/ids.h"
#include "decisions/indexes.h"

#include <cstdint>
#include <vector>

namespace guavavalve::internal {

/// A job whose tasks start together or not at all.
struct GangRecord
{
    std::uint32_t size = 0; ///< tasks of the job
    std::uint32_t submitted = 0;
    std::uint32_t waiting = 0;
    Index leader = noIndex; ///< the member that stands in the queue for all
    std::vector<Index> members; ///< tasks that are not over

    /// All have been submitted, and none is still placed from before.
    bool complete() const
    {
        return this->submitted >= this->size && this->waiting == this->members.size();
    }
};

} // namespace guavavalve::internal
