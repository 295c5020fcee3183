#pragma once

#include "workflows/model/runend.h"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace guavavalve::workflows {

/// Records the ends of runs. The end of any run but the one placed last has no effect.
struct EndRuns
{
    std::vector<RunEnd> ends;
    std::int64_t atMs = 0; ///< calendar time; used only for retention

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->ends, this->atMs);
    }
};

} // namespace guavavalve::workflows
