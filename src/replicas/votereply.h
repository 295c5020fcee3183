#pragma once

#include <cstdint>

namespace guavavalve {

struct VoteReply
{
    bool preVote = false;
    bool granted = false;
    std::uint64_t forTerm = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->preVote, this->granted, this->forTerm);
    }
};

} // namespace guavavalve
