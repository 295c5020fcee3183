#pragma once

#include "journal/logindex.h"

#include <cstdint>

namespace guavavalve {

/// Keeps followers from starting an election; its reply renews the leader's lease.
struct HeartbeatRequest
{
    LogIndex committed = 0; ///< at most the follower's known match index
    std::int64_t sentAt = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->committed, this->sentAt);
    }
};

} // namespace guavavalve
