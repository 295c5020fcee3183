#pragma once

#include "core/resources.h"
#include "workflows/ids.h"

#include <cstdint>

namespace guavavalve::workflows {

/// A target has said that its room has changed. What runs there goes on, also beyond a room that
/// has shrunk. A report that is older than the last one that changed the room changes nothing.
struct ResizeIncarnation
{
    IncarnationId incarnation = IncarnationId::None;
    Resources capacity;
    std::uint64_t sequence = 0; ///< of the target's report; grows within one life

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->incarnation, this->capacity, this->sequence);
    }
};

} // namespace guavavalve::workflows
