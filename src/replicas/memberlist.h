#pragma once

#include "replicas/memberrecord.h"

#include <cereal/types/vector.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace guavavalve {

/// The full membership of a group: the payload of an EntryKind::Members entry.
struct MemberList
{
    std::uint64_t formation = 0; ///< random ID that the group was given when it was formed
    std::vector<MemberRecord> members;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->formation, this->members);
    }

    const MemberRecord *find(ReplicaId replica) const
    {
        const auto found = std::find_if(this->members.begin(), this->members.end(),
                                        [&](const auto &m) { return m.replica == replica; });
        return found == this->members.end() ? nullptr : &*found;
    }

    bool isVoter(ReplicaId replica) const
    {
        const MemberRecord *member = this->find(replica);
        return member != nullptr && member->voter;
    }

    std::size_t voters() const
    {
        return static_cast<std::size_t>(std::count_if(this->members.begin(), this->members.end(),
                                                      [](const auto &m) { return m.voter; }));
    }

    /// The number of votes that a decision requires.
    std::size_t quorum() const { return this->voters() / 2 + 1; }
};

} // namespace guavavalve
