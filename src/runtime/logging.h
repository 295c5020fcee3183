#pragma once

#include "core/logformat.h"
#include "core/loglevel.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace guavavalve {

struct LogOptions
{
    LogLevel level = LogLevel::Information;
    LogFormat format = LogFormat::Text;
    std::string file; ///< empty: standard error; "-": standard output
    std::size_t queueLines = 8192; ///< beyond which the oldest line is dropped
};

/// Writes the process's log from a thread of its own for as long as it lives.
///
/// The queue is bounded and drops its oldest line: a full disk or a blocked terminal must not
/// hold up requests. Dropped lines are counted.
class Logging
{
public:
    explicit Logging(const LogOptions &options);
    ~Logging();
    Logging(const Logging &) = delete;
    Logging &operator=(const Logging &) = delete;

    /// Lines dropped so far.
    static std::uint64_t droppedLines();
};

/// A named value of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Logs a change of state, as `what key=value ...`. Counters, and not lines, are for what
/// happens to each request.
void logEvent(LogLevel level, std::string_view what, std::initializer_list<LogField> fields = {});

} // namespace guavavalve
