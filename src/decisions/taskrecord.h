#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/resources.h"
#include "decisions/indexes.h"
#include "decisions/reason.h"

#include <cstdint>

namespace guavavalve::internal {

/// One waiting or placed task. Its team, class and declared need are stored once, in its queue.
struct TaskRecord
{
    TaskId id = TaskId::None;
    JobId job = JobId::None;
    Instant startBy = Instant::max();
    Instant submittedAt{};
    Instant placedAt{};
    Resources charge; ///< while placed
    Microseconds declaredRunTime{0};
    Index queue = noIndex;
    Index previous = noIndex; ///< in the queue, while linked
    Index next = noIndex;
    Index target = noIndex; ///< noIndex: waiting
    Index targetPosition = 0; ///< in the target's list
    Index gangPosition = 0; ///< in the gang's list
    std::uint32_t considered = 0; ///< targets scored for its placement
    std::uint32_t usedMilliCores = 0; ///< last measured
    std::uint32_t usedMemoryMb = 0;
    Reason reason = Reason::None; ///< of its placement
    bool repeatable = true;
    bool linked = false; ///< is linked in its queue
    bool cancelled = false;
    bool throttled = false;
    bool preempting = false; ///< a checkpoint or stop has been requested
    bool probe = false;
};

} // namespace guavavalve::internal
