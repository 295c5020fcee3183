#pragma once

#include "core/enumnames.h"
#include "workflows/ids.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace guavavalve::workflows {

/// Where a task stands.
enum class TaskPhase : std::uint8_t {
    Waiting, ///< no run of it can be going on
    Placed, ///< its run is on a target, or on its way there, or is not known to be over
    Succeeded,
    Failed, ///< it failed too often
};

inline constexpr EnumNames<TaskPhase, 4> taskPhaseNames{{
    {TaskPhase::Waiting, "waiting"},
    {TaskPhase::Placed, "placed"},
    {TaskPhase::Succeeded, "succeeded"},
    {TaskPhase::Failed, "failed"},
}};

/// What is kept of a task.
struct TaskProgress
{
    TaskPhase phase = TaskPhase::Waiting;
    RunNumber run = 0; ///< the last one placed; 0: none yet
    std::uint16_t failures = 0;
    IncarnationId incarnation = IncarnationId::None; ///< where the last run was placed
    std::string checkpoint; ///< the newest that is known; empty: none

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->phase, this->run, this->failures, this->incarnation, this->checkpoint);
    }
};

} // namespace guavavalve::workflows
