#pragma once

#include "journal/logindex.h"

#include <cstdint>

namespace guavavalve {

/// How far a snapshot has come, so that a broken-off transfer goes on from there.
struct SnapshotReply
{
    LogIndex index = 0;
    std::uint64_t checksum = 0;
    std::uint64_t nextOffset = 0;
    bool installed = false;
    std::int64_t sentAt = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->index, this->checksum, this->nextOffset, this->installed, this->sentAt);
    }
};

} // namespace guavavalve
