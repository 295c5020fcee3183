#pragma once

#include "core/logformat.h"
#include "core/loglevel.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace guavavalve {

class OutputSink;

struct LogOptions
{
    LogLevel level = LogLevel::Information;
    LogFormat format = LogFormat::Text;
    std::string file; ///< path; empty: standard error; "-": standard output
    std::size_t queueLines = 8192; ///< when full, the oldest line is dropped
};

/// Sets up the process's log, which is written on a separate thread while this object exists.
///
/// The queue is bounded and drops its oldest line when full, so that a full disk or a blocked
/// terminal does not delay requests. An output that takes no more bytes does not keep the process
/// from ending either. Dropped lines are counted.
class Logging
{
public:
    explicit Logging(const LogOptions &options);
    ~Logging();
    Logging(const Logging &) = delete;
    Logging &operator=(const Logging &) = delete;

    /// Lines dropped since the log was set up.
    static std::uint64_t droppedLines();

private:
    std::shared_ptr<OutputSink> output; ///< nullptr: a file
};

/// A key and its value in a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Logs a change of state as `event key=value ...`, or as a JSON object. What happens to each
/// request is counted in metrics and not logged.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace guavavalve
