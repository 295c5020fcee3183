#pragma once

#include "core/ids.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// Sent by each instance to the controller at regular intervals while it is running.
struct PresenceReport
{
    InstanceId instance;
    std::string address; ///< "ip:port" of its messenger
    bool holdsReplica = false; ///< has a disk and can become a member of the group

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->address, this->holdsReplica);
    }
};

/// The controller's reply: the addresses of the group's members.
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

/// The reply to a presence report with the controller's clock.
struct TimedPresenceReply
{
    PresenceReply reply;
    std::uint64_t term = 0; ///< of the controller
    std::int64_t controllerUs = 0; ///< its clock when it sent this reply, in microseconds

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->reply, this->term, this->controllerUs);
    }
};

} // namespace guavavalve
