#pragma once

#include "journal/logindex.h"

#include <cstdint>

namespace guavavalve {

/// Keeps followers from standing for election, and renews the leader's lease by its reply.
struct HeartbeatRequest
{
    LogIndex committed = 0; ///< never beyond what the follower is known to have
    std::int64_t sentAt = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->committed, this->sentAt);
    }
};

} // namespace guavavalve
