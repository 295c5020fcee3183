#pragma once

#include "core/ids.h"
#include "journal/replicaidentity.h"

#include <cereal/types/string.hpp>

#include <string>

namespace guavavalve {

/// One replica as the group's own log records it.
struct MemberRecord
{
    InstanceId instance;
    ReplicaId replica = ReplicaId::None; ///< the identity of its data folder
    std::string address; ///< "ip:port" of its messenger
    bool voter = false;
    /// Of a learner: the voter that goes when this one is ready. In the log, so that a new leader
    /// carries on with the replacement.
    ReplicaId replaces = ReplicaId::None;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->replica, this->address, this->voter, this->replaces);
    }
};

} // namespace guavavalve
