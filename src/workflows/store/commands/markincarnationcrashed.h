#pragma once

#include "workflows/model/ids.h"

#include <cstdint>

namespace guavavalve::workflows {

/// The process of an incarnation has ended although its target did not announce that it leaves: the
/// runs lost with it count as lost to a crash.
struct MarkIncarnationCrashed
{
    IncarnationId incarnation = IncarnationId::None;
    std::int64_t atMs = 0; ///< calendar time; used only for retention

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->incarnation, this->atMs);
    }
};

} // namespace guavavalve::workflows
