#pragma once

#include "journal/replicaidentity.h"
#include "replicas/appendreply.h"
#include "replicas/appendrequest.h"
#include "replicas/formrequest.h"
#include "replicas/heartbeatreply.h"
#include "replicas/heartbeatrequest.h"
#include "replicas/identifyrequest.h"
#include "replicas/identityreply.h"
#include "replicas/silentmembers.h"
#include "replicas/snapshotreply.h"
#include "replicas/snapshotrequest.h"
#include "replicas/timeoutnow.h"
#include "replicas/votereply.h"
#include "replicas/voterequest.h"

#include <cereal/types/variant.hpp>

#include <cstdint>
#include <variant>

namespace guavavalve {

/// The order of the alternatives is part of the wire format.
using RaftBody = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, HeartbeatRequest,
                              HeartbeatReply, SnapshotRequest, SnapshotReply, TimeoutNow,
                              FormRequest, IdentifyRequest, IdentityReply, SilentMembers>;

/// A message between two replicas of a group.
struct RaftMessage
{
    GroupId group{};
    std::uint64_t formation = 0; ///< the sender's; zero if it has not been formed
    ReplicaId from = ReplicaId::None;
    ReplicaId to = ReplicaId::None; ///< the intended receiver; None for any replica at the address
    std::uint64_t term = 0; ///< the sender's
    RaftBody body;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->group, this->formation, this->from, this->to, this->term, this->body);
    }
};

} // namespace guavavalve
