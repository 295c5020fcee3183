#pragma once

#include "journal/replicaidentity.h"
#include "journal/snapshotmeta.h"

#include <cstdint>

namespace guavavalve {

/// The first frame of a snapshot file; it is followed by the state's bytes.
struct SnapshotHeader
{
    std::uint32_t format = 0;
    ReplicaIdentity identity;
    SnapshotMeta meta;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->format, this->identity, this->meta);
    }
};

} // namespace guavavalve
