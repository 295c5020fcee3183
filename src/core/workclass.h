#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve {

/// Kind of work that a task does; scheduling policies differ by class.
enum class WorkClass : std::uint8_t {
    Prompt, ///< needs an immediate answer: status checks, confirmations
    Service, ///< runs until stopped, spread over failure domains
    Batch, ///< may wait, and may be preempted
    Gang, ///< the tasks of a job run all at once or not at all
};

inline constexpr std::size_t workClassCount = 4;

inline constexpr EnumNames<WorkClass, workClassCount> workClassNames{{
    {WorkClass::Prompt, "prompt"},
    {WorkClass::Service, "service"},
    {WorkClass::Batch, "batch"},
    {WorkClass::Gang, "gang"},
}};

} // namespace guavavalve
