#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// What an entry is to do about an attempt whose placement has been committed.
enum class DispatchAction : std::uint8_t {
    Start, ///< send the start, then wait for the end
    Follow, ///< ask about the attempt; never send its start
    Stop, ///< have the target end it, or refuse it for ever if it has not started
    Throttle, ///< have the target slow the attempt down; it goes on
    Checkpoint, ///< have the target save the attempt's progress and end it; ends as Stopped
};

/// A committed order from the controller to an entry.
struct DispatchOrder
{
    DispatchAction action = DispatchAction::Start;
    TaskId task = TaskId::None;
    JobId job = JobId::None;
    AttemptNumber attempt = 0;
    TargetId target = TargetId::None;
    Incarnation incarnation = 0;
    std::string targetAddress; ///< "ip:port" of the target's HTTP listener
    std::int64_t finishWithinMs = 0; ///< 0: no deadline
    std::string payload;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->action, this->task, this->job, this->attempt, this->target, this->incarnation,
                this->targetAddress, this->finishWithinMs, this->payload);
    }
};

} // namespace guavavalve
