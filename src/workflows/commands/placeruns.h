#pragma once

#include "workflows/ids.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <string>
#include <vector>

namespace guavavalve::workflows {

/// One task's place.
struct Placement
{
    std::uint16_t index = 0; ///< of the task in its step
    IncarnationId incarnation = IncarnationId::None;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->index, this->incarnation);
    }
};

/// Places tasks of one step: all of them or none. Each gets the run number \a run.
struct PlaceRuns
{
    StepAddress step;
    RunNumber run = 0; ///< above that of every task placed here
    std::vector<Placement> placements;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->step, this->run, this->placements);
    }
};

} // namespace guavavalve::workflows
