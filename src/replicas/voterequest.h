#pragma once

#include "journal/logindex.h"

#include <cstdint>

namespace guavavalve {

/// A candidate asks for a vote, or (pre-vote) whether it would get one.
struct VoteRequest
{
    bool preVote = false;
    bool transfer = false; ///< its leader told it to stand: the voters' wait is waived
    std::uint64_t forTerm = 0;
    LogIndex lastIndex = 0;
    std::uint64_t lastTerm = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->preVote, this->transfer, this->forTerm, this->lastIndex, this->lastTerm);
    }
};

} // namespace guavavalve
