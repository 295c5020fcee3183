#pragma once

#include <cstdint>

namespace guavavalve {

struct VoteReply
{
    bool preVote = false;
    bool granted = false;
    std::uint64_t forTerm = 0;
    /// Of a replica that has heard no leader since it started: names this start of it. Else 0.
    std::uint64_t freshStart = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->preVote, this->granted, this->forTerm, this->freshStart);
    }
};

} // namespace guavavalve
