#pragma once

#include "journal/logindex.h"

#include <cstdint>

namespace guavavalve {

/// A candidate's request for a vote, or, as a pre-vote, for whether the vote would be granted.
struct VoteRequest
{
    bool preVote = false;
    bool transfer = false; ///< sent after TimeoutNow: voters do not wait for the leader to time out
    std::uint64_t forTerm = 0;
    LogIndex lastIndex = 0;
    std::uint64_t lastTerm = 0;
    bool isStartupPreVote = false; ///< sent before the voters' wait after a start is over
    /// The startup ID that the receiver sent when it, like all other voters, granted the startup
    /// pre-vote; it then does not wait before it votes. Zero if there is none.
    std::uint64_t startupId = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->preVote, this->transfer, this->forTerm, this->lastIndex, this->lastTerm,
                this->isStartupPreVote, this->startupId);
    }
};

} // namespace guavavalve
