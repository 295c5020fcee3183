#pragma once

#include "core/ids.h"

namespace guavavalve {

/// Hands a placed attempt over to another entry instance. The new dispatcher only queries the
/// attempt; it never starts it.
/// \errors NotFound; Conflict if the attempt is not the current one or has ended.
struct ReassignDispatcher
{
    TaskId task = TaskId::None;
    AttemptNumber attempt = 0;
    InstanceId entry; ///< the new dispatcher

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->attempt, this->entry);
    }
};

} // namespace guavavalve
