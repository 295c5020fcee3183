#pragma once

#include "core/attemptoutcome.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/taskstate.h"

#include <string>

namespace guavavalve {

/// The state of a task. Exists as long as its job record.
struct TaskRecord
{
    TaskState state = TaskState::Waiting;
    Ran ran = Ran::No; ///< whether a finished attempt may have started
    AttemptNumber attempt = 0; ///< number of the last placed attempt; 0: none yet
    TargetId target = TargetId::None; ///< of the last attempt
    InstanceId dispatcher; ///< the entry instance that handles the attempt; empty unless placed

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->state, this->ran, this->attempt, this->target, this->dispatcher);
    }
};

} // namespace guavavalve
