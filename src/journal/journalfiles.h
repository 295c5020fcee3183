#pragma once

#include "journal/logindex.h"
#include "journal/snapshotheader.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavavalve::internal {

inline constexpr std::uint32_t journalFormat = 1;
inline constexpr std::string_view lockName = "lock";
inline constexpr std::string_view besideSuffix = ".new";
inline constexpr std::string_view segmentPrefix = "segment-";
inline constexpr std::string_view snapshotPrefix = "snapshot-";
inline constexpr std::string_view segmentMark = "gvlvlog";
inline constexpr std::string_view snapshotMark = "gvlvsnp";
inline constexpr std::size_t fileMarkBytes = 8;

/// What a file of ours begins with: its kind and its format.
std::string fileMark(std::string_view kind);

/// Names sort by their numbers.
std::string segmentName(std::uint64_t number);
std::string snapshotName(LogIndex index);

/// The number in a name of the form PREFIX and 20 digits.
std::optional<std::uint64_t> numberIn(std::string_view name, std::string_view prefix);

} // namespace guavavalve::internal
