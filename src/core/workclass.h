#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve {

/// What kind of work a task is; policies differ by class (the brief, "Our workloads").
enum class WorkClass : std::uint8_t {
    Prompt, ///< answered at once: status checks, confirmations
    Service, ///< runs until stopped, spread over failure domains
    Batch, ///< may wait, and gives way
    Gang, ///< all of the job's tasks run at once, or none
};

inline constexpr std::size_t workClassCount = 4;

inline constexpr EnumNames<WorkClass, workClassCount> workClassNames{{
    {WorkClass::Prompt, "prompt"},
    {WorkClass::Service, "service"},
    {WorkClass::Batch, "batch"},
    {WorkClass::Gang, "gang"},
}};

} // namespace guavavalve
