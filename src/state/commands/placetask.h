#pragma once

#include "core/ids.h"

#include <cstdint>

namespace guavavalve {

/// Places a waiting task on a target. Once the command is committed, the dispatcher may send the
/// start request.
/// \errors NotFound; Conflict if the task is not waiting, \a attempt is not the next one or the
/// target has another incarnation or takes no work; LimitExceeded if the target lacks the
/// resources or the team would exceed its upper limit; InvalidArgument.
struct PlaceTask
{
    TaskId task = TaskId::None;
    AttemptNumber attempt = 0; ///< number of the task's last attempt plus 1
    TargetId target = TargetId::None;
    Incarnation incarnation = 0;
    InstanceId dispatcher; ///< the entry instance that sends the start request
    std::int64_t placedAt = 0; ///< cell time in ms, for reports only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->attempt, this->target, this->incarnation, this->dispatcher,
                this->placedAt);
    }
};

} // namespace guavavalve
