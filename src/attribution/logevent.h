#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace guavavalve::attribution {

/// One event from a process's structured log.
struct LogEvent
{
    std::int64_t atMs = 0; ///< calendar time
    std::string process; ///< from the line's prefix, in a file with lines of several processes
    std::string name;
    std::map<std::string, std::string> fields;

    /// The value of \a field; empty if there is none.
    std::string text(const std::string &field) const;
    /// The value of \a field as a number; zero if there is none or it is not a number.
    std::int64_t number(const std::string &field) const;
};

/// Parses one log line; nullopt if it is not an event. The last word before the first brace is the
/// name of the process.
std::optional<LogEvent> parseLogLine(const std::string &line);

} // namespace guavavalve::attribution
