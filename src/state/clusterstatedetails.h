#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace guavavalve::internal {

inline constexpr unsigned shardShift = 56;
inline constexpr std::uint64_t counterMask = (std::uint64_t{1} << shardShift) - 1;

/// Longest names and digests that are taken in, in bytes.
inline constexpr std::size_t longestId = 256;
/// Longest message that is kept with the end of an attempt, in bytes.
inline constexpr std::size_t longestMessage = 1024;
/// Longest error that is kept with an operator's request, in bytes.
inline constexpr std::size_t longestKeptError = 8192;
/// Longest summary of an operator's request, in bytes: a section's name and a key's.
inline constexpr std::size_t longestSummary = 2 * longestId;
inline constexpr std::size_t mostTargets = 100000;

template<typename Id>
std::string numberOf(Id id)
{
    return std::to_string(idValue(id));
}

inline std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

} // namespace guavavalve::internal
