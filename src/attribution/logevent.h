#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace guavavalve::attribution {

/// One line of a process's structured log.
struct LogEvent
{
    std::int64_t atMs = 0; ///< calendar time
    std::string process; ///< what stands before the line, if lines of several are in one file
    std::string name;
    std::map<std::string, std::string> fields;

    std::string text(const std::string &field) const;
    /// Zero if there is none or it is no number.
    std::int64_t number(const std::string &field) const;
};

/// Reads one line; nothing if it is no event of ours. Text before the line's first brace tells the
/// process.
std::optional<LogEvent> parseLogLine(const std::string &line);

} // namespace guavavalve::attribution
