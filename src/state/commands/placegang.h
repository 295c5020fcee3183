#pragma once

#include "state/commands/placetask.h"

#include <vector>

namespace guavavalve {

/// Places several tasks of one job, all or none.
/// \errors those of PlaceTask, for the first place that cannot be had.
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
