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
inline constexpr std::string_view temporarySuffix = ".new";
inline constexpr std::string_view segmentPrefix = "segment-";
inline constexpr std::string_view snapshotPrefix = "snapshot-";
inline constexpr std::string_view segmentMagic = "gvlvlog";
inline constexpr std::string_view snapshotMagic = "gvlvsnp";
inline constexpr std::size_t fileMagicBytes = 8;

/// The bytes at the start of every journal file: its kind and its format.
std::string fileMagic(std::string_view kind);

/// The lexical order of the names is that of their numbers.
std::string segmentName(std::uint64_t number);
std::string snapshotName(LogIndex index);

/// The number in \a name, if that consists of \a prefix and 20 digits.
std::optional<std::uint64_t> parseFileNumber(std::string_view name, std::string_view prefix);

} // namespace guavavalve::internal
