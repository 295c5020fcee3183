#pragma once

#include "journal/replicaidentity.h"

#include <cstdint>

namespace guavavalve {

/// What a replica must have synced before it answers (Ongaro and Ousterhout, 2014, figure 2).
struct HardState
{
    std::uint64_t term = 0;
    ReplicaId votedFor = ReplicaId::None;
    /// Random number of the group's one formation; zero until it has reached this replica.
    std::uint64_t formation = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->votedFor, this->formation);
    }

    friend bool operator==(const HardState &a, const HardState &b)
    {
        return a.term == b.term && a.votedFor == b.votedFor && a.formation == b.formation;
    }
    friend bool operator!=(const HardState &a, const HardState &b) { return !(a == b); }
};

} // namespace guavavalve
