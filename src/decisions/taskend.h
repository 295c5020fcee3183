#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve {

/// How an attempt ended, as the scheduler needs to know it.
enum class TaskEnd : std::uint8_t {
    Succeeded,
    Failed, ///< it ran and failed; target or job is to blame
    Stopped, ///< ended by our own stop or checkpoint; nobody is to blame
    NeverStarted, ///< the target would not take it; the target is to blame
    Lost, ///< the target was lost or restarted under it
};

inline constexpr EnumNames<TaskEnd, 5> taskEndNames{{
    {TaskEnd::Succeeded, "succeeded"},
    {TaskEnd::Failed, "failed"},
    {TaskEnd::Stopped, "stopped"},
    {TaskEnd::NeverStarted, "never-started"},
    {TaskEnd::Lost, "lost"},
}};

} // namespace guavavalve
