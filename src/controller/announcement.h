#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// Identifies one attempt in the messages between a target and the controller.
struct AttemptId
{
    TaskId task = TaskId::None;
    AttemptNumber attempt = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->attempt);
    }
};

/// A target's report of its address, resources and attempts, as forwarded by an entry.
struct Announcement
{
    std::string name; ///< identity of the target, unchanged by a restart
    Incarnation incarnation = 0;
    std::string address; ///< "ip:port" of its HTTP listener
    std::string failureDomain;
    std::string rack;
    Resources total;
    Resources used; ///< measured usage, which lags behind the actual usage
    bool departing = false;
    std::vector<AttemptId> running;
    std::vector<AttemptId> revoked; ///< acknowledges the attempts of AnnouncementReply::revoke

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->incarnation, this->address, this->failureDomain, this->rack,
                this->total, this->used, this->departing, this->running, this->revoked);
    }
};

/// The controller's reply to an Announcement.
struct AnnouncementReply
{
    TargetId target = TargetId::None;
    std::int64_t leaseMs = 0; ///< counted by the target from the time it sent the announcement
    /// Attempts that the target must end, or must never start, and then acknowledge.
    std::vector<AttemptId> revoke;
    std::vector<AttemptId> forget; ///< ended attempts whose answers the target may discard

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->target, this->leaseMs, this->revoke, this->forget);
    }
};

} // namespace guavavalve
