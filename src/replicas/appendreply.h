#pragma once

#include "journal/logindex.h"

#include <cstdint>

namespace guavavalve {

/// A follower's reply to an AppendRequest. An accepting reply is sent only after the entries have
/// been synced.
struct AppendReply
{
    bool accepted = false;
    LogIndex matchIndex = 0; ///< if accepted: the last entry known to match the leader's log
    LogIndex previousIndex = 0; ///< copied from the request
    LogIndex nextIndex = 0; ///< if rejected: the index from which the leader should retry
    std::int64_t sentAt = 0; ///< copied from the request

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->accepted, this->matchIndex, this->previousIndex, this->nextIndex,
                this->sentAt);
    }
};

} // namespace guavavalve
