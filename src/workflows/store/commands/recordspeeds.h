#pragma once

#include "workflows/model/targetspeed.h"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace guavavalve::workflows {

/// The speeds that have changed since they were last stored. Replaces the stored speeds of these
/// targets, and forgets those of unregistered targets that were learned before \a forgetBeforeMs.
struct RecordSpeeds
{
    std::vector<TargetSpeed> speeds;
    std::int64_t forgetBeforeMs = 0; ///< calendar time; 0: forgets nothing

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->speeds, this->forgetBeforeMs);
    }
};

} // namespace guavavalve::workflows
