#pragma once

#include <string_view>

namespace guavavalve {

/// \file
/// Paths and headers of the HTTP interface for callers (docs/callers.md).

inline constexpr std::string_view jobsPath = "/v1/jobs";

inline constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view classHeader = "Guavavalve-Class";
inline constexpr std::string_view needHeader = "Guavavalve-Need";
inline constexpr std::string_view tasksHeader = "Guavavalve-Tasks";
inline constexpr std::string_view repeatableHeader = "Guavavalve-Repeatable";
inline constexpr std::string_view startWithinHeader = "Guavavalve-Start-Within-Ms";
inline constexpr std::string_view finishWithinHeader = "Guavavalve-Finish-Within-Ms";
inline constexpr std::string_view runTimeHeader = "Guavavalve-Run-Time-Ms";
inline constexpr std::string_view jobHeader = "Guavavalve-Job";
inline constexpr std::string_view waitedHeader = "Guavavalve-Waited-Ms";

} // namespace guavavalve
