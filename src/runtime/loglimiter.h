#pragma once

#include "core/clock.h"

#include <cstddef>
#include <mutex>
#include <optional>

namespace guavavalve {

/// Counts events that may come by the thousand, so that a line is logged for many of them.
/// Thread-safe.
class LogLimiter
{
public:
    explicit LogLimiter(Milliseconds interval)
        : interval(interval)
    {}

    /// Counts an event. If a line is due, returns the number of events since the last one.
    std::optional<std::size_t> count(Instant now)
    {
        const std::lock_guard lock(this->mutex);
        ++this->events;
        if (now < this->nextLine)
            return std::nullopt;
        this->nextLine = now + this->interval;
        const std::size_t counted = this->events;
        this->events = 0;
        return counted;
    }

private:
    std::mutex mutex;
    Milliseconds interval;
    Instant nextLine{};
    std::size_t events = 0;
};

} // namespace guavavalve
