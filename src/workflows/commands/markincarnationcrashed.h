#pragma once

#include "workflows/ids.h"

#include <cstdint>

namespace guavavalve::workflows {

/// The process of a target's life is gone without a goodbye: what was lost with it has been under a
/// crash.
struct MarkIncarnationCrashed
{
    IncarnationId incarnation = IncarnationId::None;
    std::int64_t atMs = 0; ///< calendar time, for retention only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->incarnation, this->atMs);
    }
};

} // namespace guavavalve::workflows
