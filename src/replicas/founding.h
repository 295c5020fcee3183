#pragma once

#include "core/ids.h"
#include "journal/replicaidentity.h"
#include "replicas/memberlist.h"
#include "replicas/replicatedlog.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// The founding of a group by members that all know the same list from their settings.
///
/// Everything about it follows from that list: each founder writes the same first log entry to its
/// own disk without asking anybody, so a founder that ends at any moment of its first start resumes
/// where its disk left off, and a majority of the founders is enough to elect a leader. A founder's
/// identity is derived from the list, too, and is given to an empty disk at the first start alone:
/// a disk that is lost later comes back under another identity, which founds nothing. The other
/// instances get such an identity as well; it tells later starts by which list the group was
/// founded.
class Founding
{
public:
    /// \a founders: in any order; those with an empty list found no group.
    Founding(const std::string &clusterId, GroupId group, std::vector<ReplicaMember> founders);

    /// The identity that an empty disk of \a instance, founder or not, is given at the first start
    /// of the whole group; None without founders.
    ReplicaId identityOf(const InstanceId &instance) const;
    bool isFounder(const InstanceId &instance) const;
    /// Whether \a replica was given to a disk at a first start, by whatever list of founders.
    static bool isOfFirstStart(ReplicaId replica);
    /// An identity for a disk at any other start. \a number: random.
    static ReplicaId laterIdentity(std::uint64_t number);
    /// The members in the group's first log entry, all of them voters.
    const MemberList &members() const { return this->list; }

private:
    std::string text; ///< what all identities are derived from
    MemberList list;
};

} // namespace guavavalve
