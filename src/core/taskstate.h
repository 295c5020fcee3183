#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve {

/// Lifecycle state of a task.
enum class TaskState : std::uint8_t { Waiting, Placed, Succeeded, Failed, Cancelled, Unknown };

inline constexpr EnumNames<TaskState, 6> taskStateNames{{
    {TaskState::Waiting, "waiting"},
    {TaskState::Placed, "placed"},
    {TaskState::Succeeded, "succeeded"},
    {TaskState::Failed, "failed"},
    {TaskState::Cancelled, "cancelled"},
    {TaskState::Unknown, "unknown"},
}};

/// True if a task in \a state will never change again.
constexpr bool isFinal(TaskState state)
{
    return state != TaskState::Waiting && state != TaskState::Placed;
}

} // namespace guavavalve
