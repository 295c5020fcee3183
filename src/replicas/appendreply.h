#pragma once

#include "journal/logindex.h"

#include <cstdint>

namespace guavavalve {

/// Sent once the entries are synced.
struct AppendReply
{
    bool accepted = false;
    LogIndex matchIndex = 0; ///< if accepted: the last entry known to agree with the leader's
    LogIndex previousIndex = 0; ///< that of the request
    LogIndex nextIndex = 0; ///< if not accepted: where the leader should try again
    std::int64_t sentAt = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->accepted, this->matchIndex, this->previousIndex, this->nextIndex,
                this->sentAt);
    }
};

} // namespace guavavalve
