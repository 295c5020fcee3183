#pragma once

#include "journal/logentry.h"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace guavavalve {

/// Replicates the leader's entries that follow \a previousIndex to a follower.
struct AppendRequest
{
    LogIndex previousIndex = 0;
    std::uint64_t previousTerm = 0;
    LogIndex committed = 0;
    std::int64_t sentAt = 0; ///< by the leader's clock; returned in the reply
    std::vector<LogEntry> entries;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->previousIndex, this->previousTerm, this->committed, this->sentAt,
                this->entries);
    }
};

} // namespace guavavalve
