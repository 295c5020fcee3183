#pragma once

#include "core/clock.h"

#include <algorithm>
#include <random>

namespace guavavalve::internal {

/// Exponential backoff with full-range jitter (half to one and a half of each step), so that
/// many that failed together do not come back together.
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
