#pragma once

#include "core/enumnames.h"
#include "workflows/model/ids.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace guavavalve::workflows {

/// Scheduling state of a task.
enum class TaskPhase : std::uint8_t {
    Waiting, ///< no run of it can be active
    Placed, ///< its run is on a target or on its way there, or is not known to have ended
    Succeeded,
    Failed, ///< it failed as often as its queue allows
};

inline constexpr EnumNames<TaskPhase, 4> taskPhaseNames{{
    {TaskPhase::Waiting, "waiting"},
    {TaskPhase::Placed, "placed"},
    {TaskPhase::Succeeded, "succeeded"},
    {TaskPhase::Failed, "failed"},
}};

/// The stored progress of a task.
struct TaskProgress
{
    TaskPhase phase = TaskPhase::Waiting;
    RunNumber run = 0; ///< number of the last run placed; 0: none yet
    std::uint16_t failures = 0;
    IncarnationId incarnation = IncarnationId::None; ///< where the last run was placed
    std::string checkpoint; ///< the newest known; empty: none

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->phase, this->run, this->failures, this->incarnation, this->checkpoint);
    }
};

} // namespace guavavalve::workflows
