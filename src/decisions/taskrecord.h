#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/resources.h"
#include "decisions/indexes.h"
#include "decisions/reason.h"

#include <cstdint>

namespace guavavalve::internal {

/// One task that waits or is placed. What its queue knows (team, class, declared need) is kept
/// there once.
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
    std::uint32_t considered = 0; ///< targets weighed for its placement
    std::uint32_t usedMilliCores = 0; ///< last measured
    std::uint32_t usedMemoryMb = 0;
    Reason reason = Reason::None; ///< of its placement
    bool repeatable = true;
    bool linked = false; ///< stands in its queue
    bool cancelled = false;
    bool throttled = false;
    bool ending = false; ///< a checkpoint or stop has been asked for
    bool probe = false;
};

} // namespace guavavalve::internal
