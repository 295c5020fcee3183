#pragma once

#include "workflows/model/policy.h"

#include <cstdint>

namespace guavavalve::workflows {

/// The last stored settings of a queue.
struct KnownQueue
{
    QueuePolicy settings;
    std::int64_t removedAtMs = 0; ///< calendar time; 0: the document in force has it

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->settings, this->removedAtMs);
    }
};

} // namespace guavavalve::workflows
