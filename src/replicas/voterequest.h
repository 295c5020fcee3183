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
    /// Set by a replica that has not heard from a leader since its start; see
    /// RaftCore::requestStartupPreVotes().
    bool isStartupPreVote = false;
    /// Set if all voters granted the startup pre-vote: the startup ID from the receiver's grant,
    /// which lets it vote without waiting. Otherwise zero.
    std::uint64_t startupId = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->preVote, this->transfer, this->forTerm, this->lastIndex, this->lastTerm,
                this->isStartupPreVote, this->startupId);
    }
};

} // namespace guavavalve
