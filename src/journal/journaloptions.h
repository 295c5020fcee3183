#pragma once

#include "journal/replicaidentity.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace guavavalve {

/// Options of a Journal.
struct JournalOptions
{
    std::string clusterId;
    GroupId group{};
    std::size_t segmentBytes = 8U << 20U; ///< size from which on a new segment is started
    std::function<std::uint64_t()> random; ///< generates a new replica's identity
    /// Identity of the replica if the folder is empty; None: a random one.
    ReplicaId identityIfEmpty = ReplicaId::None;
    /// Recovery writes every file anew. After a failed sync the system may show bytes that are not
    /// on the disk and that another sync does not write.
    bool rewritesFiles = false;
};

} // namespace guavavalve
