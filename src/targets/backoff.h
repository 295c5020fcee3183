#pragma once

#include "core/clock.h"

#include <algorithm>
#include <random>

namespace guavavalve::internal {

/// Exponential backoff with jitter (each delay is 0.5 to 1.5 times its step), so that callers that
/// failed at the same time do not all retry at the same time.
class Backoff
{
public:
    Backoff(Milliseconds initialDelay, Milliseconds maxDelay)
        : initialDelay(initialDelay)
        , nextDelay(initialDelay)
        , maxDelay(maxDelay)
    {}

    void reset() { this->nextDelay = this->initialDelay; }

    Microseconds delay()
    {
        thread_local std::minstd_rand random{std::random_device{}()};
        std::uniform_int_distribution<std::int64_t> jitter(500, 1500);
        const Microseconds chosen{this->nextDelay.count() * jitter(random)};
        this->nextDelay = std::min(this->nextDelay * 2, this->maxDelay);
        return chosen;
    }

private:
    Milliseconds initialDelay;
    Milliseconds nextDelay;
    Milliseconds maxDelay;
};

} // namespace guavavalve::internal
