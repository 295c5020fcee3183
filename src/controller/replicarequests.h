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

/// Forms the replica group. Unlike all other requests it goes to a replica's own log, because there
/// is no controller yet.
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

/// Adds a replica; the reply is sent once the replica votes.
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
