#pragma once

#include "core/done.h"
#include "replicas/replicatedlog.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace guavavalve {

struct ReplicaStatusRequest
{
    using Reply = ReplicaStatus;

    template<typename Archive>
    void serialize(Archive &)
    {}
};

/// Forms the group. The one request that goes to a replica's own log and not to the controller,
/// for there is none yet.
struct FormGroupRequest
{
    using Reply = ReplicaStatus;
    std::vector<ReplicaMember> members;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->members);
    }
};

/// Adds a replica; the reply comes once it votes.
struct AddReplicaRequest
{
    using Reply = ReplicaStatus;
    ReplicaMember member;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->member);
    }
};

struct RemoveReplicaRequest
{
    using Reply = ReplicaStatus;
    InstanceId instance;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance);
    }
};

} // namespace guavavalve
