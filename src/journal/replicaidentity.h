#pragma once

#include <cstdint>
#include <string>

namespace guavavalve {

/// One replica group (one Raft log) of the cluster.
enum class GroupId : std::uint32_t {};

/// The random identity of one data folder. A lost folder takes it along: what comes back at the
/// same address is another replica, and can neither vote nor acknowledge under the old identity.
enum class ReplicaId : std::uint64_t { None = 0 };

/// Whose files a folder holds.
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
