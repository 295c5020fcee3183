#pragma once

#include <cstdint>
#include <string>

namespace guavavalve {

/// One replica group (one Raft log) of the cluster.
enum class GroupId : std::uint32_t {};

/// The random identity of a data folder. It is lost with the folder: an instance that returns at
/// the same address with an empty folder is a different replica, and can neither vote nor
/// acknowledge under the old identity.
enum class ReplicaId : std::uint64_t { None = 0 };

/// Identifies the replica to which the files of a folder belong.
struct ReplicaIdentity
{
    std::string clusterId;
    GroupId group{};
    ReplicaId replica = ReplicaId::None;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->clusterId, this->group, this->replica);
    }
};

} // namespace guavavalve
