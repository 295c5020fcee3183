#pragma once

#include "journal/logindex.h"

#include <cstdint>

namespace guavavalve {

/// Reports how much of a snapshot has been received, so that an interrupted transfer resumes there.
struct SnapshotReply
{
    LogIndex index = 0;
    std::uint64_t checksum = 0;
    std::uint64_t nextOffset = 0;
    bool installed = false;
    std::int64_t sentAt = 0; ///< copied from the request

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->index, this->checksum, this->nextOffset, this->installed, this->sentAt);
    }
};

} // namespace guavavalve
