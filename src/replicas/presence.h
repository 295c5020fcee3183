#pragma once

#include "core/ids.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <string>
#include <vector>

namespace guavavalve {

/// What an instance tells the controller from time to time: that it is there.
struct PresenceReport
{
    InstanceId instance;
    std::string address; ///< "ip:port" of its messenger
    bool holdsReplica = false; ///< it has a disk and may be a member of the group

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->address, this->holdsReplica);
    }
};

/// The controller's answer: where the group's members are.
struct PresenceReply
{
    std::string controller; ///< messenger address of the controller
    std::vector<std::string> members; ///< messenger addresses

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->controller, this->members);
    }
};

} // namespace guavavalve
