#pragma once

#include "workflows/model/ids.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <string>
#include <vector>

namespace guavavalve::workflows {

/// Assigns one task to an incarnation of a target.
struct Placement
{
    std::uint16_t index = 0; ///< index of the task within its step
    IncarnationId incarnation = IncarnationId::None;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->index, this->incarnation);
    }
};

/// Places tasks of one step: all of them or none. Each of them gets the run number \a run.
struct PlaceRuns
{
    StepAddress step;
    RunNumber run = 0; ///< higher than the latest run number of each of the tasks
    std::vector<Placement> placements;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->step, this->run, this->placements);
    }
};

} // namespace guavavalve::workflows
