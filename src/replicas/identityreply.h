#pragma once

#include "core/ids.h"
#include "journal/replicaidentity.h"

#include <cereal/types/string.hpp>

#include <cstdint>

namespace guavavalve {

/// Who really is at an address: the reply to IdentifyRequest, and to any message that was meant
/// for another replica or another formation.
struct IdentityReply
{
    InstanceId instance;
    ReplicaId replica = ReplicaId::None;
    std::uint64_t formation = 0; ///< zero: not formed
    std::uint64_t reservedFor = 0; ///< the formation it keeps itself for

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->replica, this->formation, this->reservedFor);
    }
};

} // namespace guavavalve
