#pragma once

#include "journal/replicaidentity.h"

#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <utility>
#include <vector>

namespace guavavalve {

/// Tells the other voters which members do not answer the leader, so that the next leader goes on
/// counting where this one stops. Sent while there are any.
struct SilentMembers
{
    /// Microseconds since each of them last answered.
    std::vector<std::pair<ReplicaId, std::int64_t>> silentForUs;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->silentForUs);
    }
};

} // namespace guavavalve
