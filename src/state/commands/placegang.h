#pragma once

#include "state/commands/placetask.h"

#include <vector>

namespace guavavalve {

/// Places all waiting tasks of a gang atomically.
/// \errors those of PlaceTask, for the first task that cannot be placed; InvalidArgument if a task
/// is named twice or belongs to another job; Conflict if not all waiting tasks are named.
struct PlaceGang
{
    std::vector<PlaceTask> places;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->places);
    }
};

} // namespace guavavalve
