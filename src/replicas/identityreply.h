#pragma once

#include "core/ids.h"
#include "journal/replicaidentity.h"

#include <cereal/types/string.hpp>

#include <cstdint>

namespace guavavalve {

/// The replica that runs at an address: the reply to IdentifyRequest, and to any message that was
/// addressed to another replica or another formation.
struct IdentityReply
{
    InstanceId instance;
    ReplicaId replica = ReplicaId::None;
    std::uint64_t formation = 0; ///< zero: not formed
    std::uint64_t reservedForFormation = 0; ///< formation that holds a reservation; zero: none

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->replica, this->formation, this->reservedForFormation);
    }
};

} // namespace guavavalve
