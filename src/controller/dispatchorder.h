#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// What an entry must do about an attempt whose placement has been committed.
enum class DispatchAction : std::uint8_t {
    Start, ///< start the attempt on its target, then wait for its end
    Follow, ///< query the target about the attempt, but never start it
    Stop, ///< have the target end the attempt, or never start it if it has not started
    Throttle, ///< have the target slow the attempt down without ending it
    Checkpoint, ///< have the target save the attempt's progress and end it as Stopped
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
