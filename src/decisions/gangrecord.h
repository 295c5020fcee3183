#pragma once

#include "core/ids.h"
#include "decisions/indexes.h"

#include <cstdint>
#include <vector>

namespace guavavalve::internal {

/// A job whose tasks are started all together or not at all.
struct GangRecord
{
    std::uint32_t size = 0; ///< tasks of the job
    std::uint32_t submitted = 0;
    std::uint32_t waiting = 0;
    Index queuedMember = noIndex; ///< the member that represents the gang in its queue
    std::vector<Index> members; ///< tasks that have not ended

    /// True if all tasks have been submitted and none is still placed from an earlier start.
    bool complete() const
    {
        return this->submitted >= this->size && this->waiting == this->members.size();
    }
};

} // namespace guavavalve::internal
