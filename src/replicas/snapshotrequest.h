#pragma once

#include "journal/snapshotmeta.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// A chunk of the leader's snapshot.
struct SnapshotRequest
{
    SnapshotMeta meta;
    std::uint64_t offset = 0;
    std::int64_t sentAt = 0; ///< by the leader's clock; returned in the reply
    std::string chunk;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->meta, this->offset, this->sentAt, this->chunk);
    }
};

} // namespace guavavalve
