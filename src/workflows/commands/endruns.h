#pragma once

#include "workflows/runend.h"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace guavavalve::workflows {

/// Records ends. An end of another run than the last placed one changes nothing.
struct EndRuns
{
    std::vector<RunEnd> ends;
    std::int64_t atMs = 0; ///< calendar time, for retention only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->ends, this->atMs);
    }
};

} // namespace guavavalve::workflows
