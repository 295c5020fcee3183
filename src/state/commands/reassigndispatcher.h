#pragma once

#include "core/ids.h"

namespace guavavalve {

/// Makes another entry follow a placed attempt. It asks about the attempt and never starts it.
/// \errors NotFound; Conflict if the attempt is not the current one or is over.
struct ReassignDispatcher
{
    TaskId task = TaskId::None;
    AttemptNumber attempt = 0;
    InstanceId entry;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->attempt, this->entry);
    }
};

} // namespace guavavalve
