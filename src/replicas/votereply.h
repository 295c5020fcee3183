#pragma once

#include <cstdint>

namespace guavavalve {

/// A voter's reply to a VoteRequest.
struct VoteReply
{
    bool preVote = false;
    bool granted = false;
    std::uint64_t forTerm = 0;
    /// In a granted startup pre-vote: the ID of the voter's process start. Zero in any other reply.
    std::uint64_t startupId = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->preVote, this->granted, this->forTerm, this->startupId);
    }
};

} // namespace guavavalve
