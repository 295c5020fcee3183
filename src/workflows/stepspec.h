#pragma once

#include "core/resources.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// What a caller says of one step: a number of equal tasks that wait for earlier steps.
struct StepSpec
{
    std::uint16_t tasks = 1;
    Resources need; ///< of each task
    std::uint32_t estimatedMs = 0; ///< rough run time of a task; 0: not said
    std::vector<std::uint16_t> dependencies; ///< earlier steps whose tasks must all have succeeded
    bool checkpointing = false; ///< its tasks save their progress
    bool gang = false; ///< its tasks work only all together
    bool sameRack = false; ///< of a gang: much slower over several racks
    std::string label; ///< that the target must have; empty: any
    std::string dataRack; ///< where its data is; slower elsewhere; empty: nowhere
    std::uint16_t maxPerTarget = 0; ///< tasks of the step on one target; 0: no bound
    bool speculative = false; ///< several runs of a task may go on at once
    bool longRunning = false; ///< runs until it is cancelled, and is restarted however it ends
    std::string image; ///< what the tasks run; empty: not said
    std::uint32_t latencyTargetMs = 0; ///< of a lasting task's own users; 0: none
    bool backfill = false; ///< takes the processor time that others leave; reserves none
    std::uint16_t maxUnavailable = 0; ///< tasks of a lasting step that we may have away at once

    /// What a task takes from its target's room.
    Resources reserved() const
    {
        Resources room = this->need;
        if (this->backfill)
            room[ResourceKind::MilliCores] = 0;
        return room;
    }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->tasks, this->need, this->estimatedMs, this->dependencies, this->checkpointing,
                this->gang, this->sameRack, this->label, this->dataRack, this->maxPerTarget,
                this->speculative, this->longRunning, this->image, this->latencyTargetMs,
                this->backfill, this->maxUnavailable);
    }
};

} // namespace guavavalve::workflows
