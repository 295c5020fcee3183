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

/// A scheduler's figures at one moment.
struct Statistics
{
    std::vector<TeamStatistics> teams; ///< in order of TeamId
    std::array<ClassStatistics, workClassCount> classes;
    Resources total; ///< of the targets that take work
    Resources placed; ///< set aside on them
    double packing = 0.0; ///< part in use of the busiest resource
    std::uint32_t targets = 0;
    std::uint32_t departing = 0;
    std::uint32_t quarantined = 0;
    std::uint32_t headroomTargets = 0; ///< targets that are kept for prompt work

    ClassStatistics &of(WorkClass workClass)
    {
        return this->classes[static_cast<std::size_t>(workClass)];
    }
};

} // namespace guavavalve
