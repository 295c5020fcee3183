#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// One attempt as its target names it.
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

/// What a target says of itself, as an entry passes it on.
struct Announcement
{
    std::string name; ///< the target's identity, kept over its restarts
    Incarnation incarnation = 0;
    std::string address; ///< "ip:port" of its HTTP listener
    std::string failureDomain;
    std::string rack;
    Resources total;
    Resources used; ///< measured, with a lag
    bool departing = false;
    std::vector<AttemptId> running;
    std::vector<AttemptId> revoked; ///< attempts ended or refused for ever, as asked

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->incarnation, this->address, this->failureDomain, this->rack,
                this->total, this->used, this->departing, this->running, this->revoked);
    }
};

/// The controller's answer to an Announcement.
struct AnnouncementReply
{
    TargetId target = TargetId::None;
    std::int64_t leaseMs = 0; ///< counted by the target from when it sent the announcement
    std::vector<AttemptId> revoke; ///< to end, or to refuse for ever, and to acknowledge
    std::vector<AttemptId> forget; ///< ended attempts whose answers need not be kept any longer

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->target, this->leaseMs, this->revoke, this->forget);
    }
};

} // namespace guavavalve
