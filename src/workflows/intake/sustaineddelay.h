#pragma once

#include "core/clock.h"

#include <algorithm>
#include <optional>

namespace guavavalve::workflows {

/// The least delay observed in the last complete window. A single slow commit does not raise it;
/// a queue that does not drain does.
class SustainedDelay
{
public:
    void observed(Milliseconds delay, Instant now)
    {
        if (now >= this->windowEnd) {
            this->previous = now < this->windowEnd + window ? this->current : std::nullopt;
            this->current.reset();
            this->windowEnd = now + window;
        }
        this->current = std::min(this->current.value_or(delay), delay);
    }

    /// Zero if none was observed lately.
    Milliseconds at(Instant now) const
    {
        const bool isRecent = now < this->windowEnd + window;
        return isRecent ? this->previous.value_or(Milliseconds(0)) : Milliseconds(0);
    }

    /// Several commits, and short compared to the time that callers wait for an answer.
    static constexpr Milliseconds window{500};

private:
    Instant windowEnd{};
    std::optional<Milliseconds> current;
    std::optional<Milliseconds> previous;
};

} // namespace guavavalve::workflows
