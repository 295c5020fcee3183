#pragma once

#include "core/attemptoutcome.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/taskstate.h"

#include <string>

namespace guavavalve {

/// What is kept of a task while its job is known.
struct TaskRecord
{
    TaskState state = TaskState::Waiting;
    Ran ran = Ran::No; ///< whether an attempt that is over may have begun
    AttemptNumber attempt = 0; ///< the last one placed; 0: none yet
    TargetId target = TargetId::None; ///< of the last attempt
    InstanceId dispatcher; ///< the entry that follows the attempt; empty unless placed

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->state, this->ran, this->attempt, this->target, this->dispatcher);
    }
};

} // namespace guavavalve
