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
    Backoff(Milliseconds first, Milliseconds longest)
        : first(first)
        , next(first)
        , longest(longest)
    {}

    void reset() { this->next = this->first; }

    Microseconds delay()
    {
        thread_local std::minstd_rand random{std::random_device{}()};
        std::uniform_int_distribution<std::int64_t> jitter(500, 1500);
        const Microseconds chosen{this->next.count() * jitter(random)};
        this->next = std::min(this->next * 2, this->longest);
        return chosen;
    }

private:
    Milliseconds first;
    Milliseconds next;
    Milliseconds longest;
};

} // namespace guavavalve::internal
