#pragma once

#include "core/resources.h"
#include "core/workclass.h"
#include "decisions/classstatistics.h"
#include "decisions/teamstatistics.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace guavavalve {

/// Figures of a scheduler at one point in time.
struct Statistics
{
    std::vector<TeamStatistics> teams; ///< ordered by TeamId
    std::array<ClassStatistics, workClassCount> classes;
    Resources total; ///< of the targets that accept work
    Resources placed; ///< reserved on them
    double packing = 0.0; ///< fraction of the busiest resource that is placed
    std::uint32_t targets = 0;
    std::uint32_t departing = 0;
    std::uint32_t quarantined = 0;
    std::uint32_t headroomTargets = 0; ///< targets kept for prompt work

    ClassStatistics &of(WorkClass workClass)
    {
        return this->classes[static_cast<std::size_t>(workClass)];
    }
};

} // namespace guavavalve
