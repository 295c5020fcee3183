#pragma once

#include "core/ids.h"
#include "journal/replicaidentity.h"

#include <cereal/types/string.hpp>

#include <string>

namespace guavavalve {

/// A member of the group as recorded in the group's log.
struct MemberRecord
{
    InstanceId instance;
    ReplicaId replica = ReplicaId::None; ///< identifies its data folder
    std::string address; ///< "ip:port" of its messenger
    bool voter = false;
    /// For a learner: the voter to remove once this learner has caught up. Recorded in the log so
    /// that a new leader continues the replacement.
    ReplicaId replaces = ReplicaId::None;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->replica, this->address, this->voter, this->replaces);
    }
};

} // namespace guavavalve
