#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace guavavalve::internal {

/// A job or task ID holds the shard in its top 8 bits and a counter in the others.
inline constexpr unsigned shardShift = 56;
inline constexpr std::uint64_t counterMask = (std::uint64_t{1} << shardShift) - 1;

/// Longest accepted name, ID or digest, in bytes.
inline constexpr std::size_t maxIdBytes = 256;
/// Longest message stored with the end of an attempt or the refusal of a job, in bytes; longer ones
/// are truncated.
inline constexpr std::size_t maxMessageBytes = 1024;
/// Longest error message stored with an operator request, in bytes; longer ones are truncated.
inline constexpr std::size_t maxErrorBytes = 8192;
/// Longest summary of an operator request, in bytes: room for a section name and a key ID.
inline constexpr std::size_t maxSummaryBytes = 2 * maxIdBytes;
inline constexpr std::size_t maxTargets = 100000;

template<typename Id>
std::string idText(Id id)
{
    return std::to_string(idValue(id));
}

inline std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

} // namespace guavavalve::internal
