#pragma once

#include "core/resources.h"
#include "workflows/model/ids.h"

#include <cstdint>

namespace guavavalve::workflows {

/// A target has reported a changed capacity. Its runs continue even if they exceed a reduced
/// capacity. A report that is older than the last one that changed the capacity has no effect.
struct ResizeIncarnation
{
    IncarnationId incarnation = IncarnationId::None;
    Resources capacity;
    std::uint64_t sequence = 0; ///< of the target's report; increases within one incarnation

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->incarnation, this->capacity, this->sequence);
    }
};

} // namespace guavavalve::workflows
