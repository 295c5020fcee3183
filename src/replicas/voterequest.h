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
    bool isEarly = false; ///< of a pre-vote: right after a start, before the voters' wait is over
    /// The start of the voter that was found to follow nobody, with all others: its wait is waived.
    std::uint64_t freshStart = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->preVote, this->transfer, this->forTerm, this->lastIndex, this->lastTerm,
                this->isEarly, this->freshStart);
    }
};

} // namespace guavavalve
