#pragma once

#include "journal/replicaidentity.h"

#include <cstdint>

namespace guavavalve {

/// State that a replica must sync before it responds (Ongaro and Ousterhout, 2014, figure 2).
struct HardState
{
    std::uint64_t term = 0;
    ReplicaId votedFor = ReplicaId::None;
    /// Random number that identifies the group's formation, which takes place only once; zero until
    /// this replica has learned of it.
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
