#pragma once

#include "core/ids.h"

#include <cstdint>

namespace guavavalve {

/// Places a waiting task. After its commit the dispatcher may send the start.
/// \errors NotFound; Conflict if the task is not waiting, \a attempt is not the next one or the
/// target has another incarnation or takes no work; LimitExceeded if the target has no room
/// or the team would pass its upper limit.
struct PlaceTask
{
    TaskId task = TaskId::None;
    AttemptNumber attempt = 0; ///< one more than the task's last
    TargetId target = TargetId::None;
    Incarnation incarnation = 0;
    InstanceId dispatcher; ///< the entry that sends the start
    std::int64_t placedAt = 0; ///< cell time in ms, for reports only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->attempt, this->target, this->incarnation, this->dispatcher,
                this->placedAt);
    }
};

} // namespace guavavalve
