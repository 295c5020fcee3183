#pragma once

#include <cstdint>
#include <string>
#include <type_traits>

namespace guavavalve {

/// A task. The top 8 bits identify the shard (replica group) that schedules it; the rest is a
/// counter of that shard.
enum class TaskId : std::uint64_t { None = 0 };

/// A job: one or more tasks submitted together. Has the value of its first task.
enum class JobId : std::uint64_t { None = 0 };

/// A target, numbered in the order in which targets first registered.
enum class TargetId : std::uint32_t { None = 0 };

/// A team, numbered in the order in which teams were first configured.
enum class TeamId : std::uint32_t { None = 0 };

/// Number of an attempt to run a task, starting at 1.
using AttemptNumber = std::uint32_t;

/// Number that increases with every start of a target's process.
using Incarnation = std::uint64_t;

/// Name of an instance, i.e. one of our own processes; unique in the cluster.
using InstanceId = std::string;

template<typename Id>
constexpr auto idValue(Id id)
{
    return static_cast<std::underlying_type_t<Id>>(id);
}

} // namespace guavavalve
