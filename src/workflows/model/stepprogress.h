#pragma once

#include "workflows/model/taskprogress.h"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace guavavalve::workflows {

/// The stored progress of one step of one occurrence.
struct StepProgress
{
    std::vector<TaskProgress> tasks;
    std::uint16_t placed = 0; ///< tasks in phase Placed
    std::uint16_t succeeded = 0;
    std::uint16_t gangFailures = 0; ///< number of the gang's runs in which a member failed
    RunNumber gangFailedRun = 0; ///< run number of the last of these

    bool isDone() const { return this->succeeded == this->tasks.size(); }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->tasks, this->placed, this->succeeded, this->gangFailures,
                this->gangFailedRun);
    }
};

} // namespace guavavalve::workflows
