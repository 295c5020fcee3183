#pragma once

#include "core/clock.h"

#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace guavavalve {

/// Writes log lines to an output that the process was started with and drops those that it does not
/// take in time: a pipe that nobody reads must not keep the process from ending.
class OutputSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit OutputSink(int descriptor);
    ~OutputSink() override;
    OutputSink(const OutputSink &) = delete;
    OutputSink &operator=(const OutputSink &) = delete;

    /// Lines that the output takes no later than \a deadline are still written.
    void closeBy(Instant deadline) { this->closeDeadline = deadline; }
    std::uint64_t droppedLines() const { return this->dropped; }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override {}

private:
    bool awaitRoom();
    bool write(std::string_view text);

    int output;
    bool isOwned = false;
    bool isBlocked = false;
    bool isLineCut = false;
    std::atomic<Instant> closeDeadline;
    std::atomic<std::uint64_t> dropped{0};
};

} // namespace guavavalve
