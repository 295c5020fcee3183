#pragma once

#include "core/resources.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// One step as specified by the caller: a number of identical tasks that depend on earlier steps.
struct StepSpec
{
    std::uint16_t tasks = 1;
    Resources need; ///< of each task
    std::uint32_t estimatedMs = 0; ///< rough run time of a task; 0: unknown
    std::vector<std::uint16_t> dependencies; ///< earlier steps whose tasks must all have succeeded
    bool checkpointing = false; ///< its tasks save checkpoints
    bool gang = false; ///< its tasks only work when all of them run
    bool sameRack = false; ///< for a gang that is much slower across racks
    std::string label; ///< required of the target; empty: any target
    std::string dataRack; ///< rack that holds its data; slower elsewhere; empty: none
    std::uint16_t maxPerTarget = 0; ///< limit of the step's tasks on one target; 0: none
    bool speculative = false; ///< several runs of a task may be active at once
    bool longRunning = false; ///< runs until it is cancelled; restarted whatever its outcome
    std::string image; ///< image that the tasks run; empty: unspecified
    std::uint32_t latencyTargetMs = 0; ///< for requests to a long-running task; 0: none
    bool backfill = false; ///< uses leftover processor time and reserves none
    std::uint16_t maxUnavailable = 0; ///< long-running tasks that we may stop at once

    /// The resources that a task reserves on its target.
    Resources reserved() const
    {
        Resources room = this->need;
        if (this->backfill)
            room[ResourceKind::MilliCores] = 0;
        return room;
    }

    /// Processor time of a task by its estimate, in milli-core-milliseconds; never zero.
    double workOfTask() const
    {
        const std::int64_t milliCores = this->reserved()[ResourceKind::MilliCores];
        return static_cast<double>(std::max<std::int64_t>(1, milliCores))
            * static_cast<double>(std::max<std::uint32_t>(1, this->estimatedMs));
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
