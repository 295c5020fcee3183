#pragma once

#include "core/clock.h"

#include <cmath>

namespace guavavalve {

/// Exponentially decaying rate of events or amounts. Uses constant space; no history is kept.
class DecayingRate
{
public:
    static constexpr double defaultTimeConstantSeconds = 5.0;

    explicit DecayingRate(double timeConstantSeconds = defaultTimeConstantSeconds)
        : timeConstantSeconds(timeConstantSeconds)
    {}

    void add(Instant now, double amount = 1.0)
    {
        this->rate = this->at(now) + amount / this->timeConstantSeconds;
        this->last = now;
    }

    /// The rate at \a now, per second.
    double at(Instant now) const
    {
        const double age = std::chrono::duration<double>(now - this->last).count();
        return age <= 0.0 ? this->rate : this->rate * std::exp(-age / this->timeConstantSeconds);
    }

    /// True if nothing was added after \a since.
    bool isIdleSince(Instant since) const { return this->last <= since; }

private:
    double timeConstantSeconds;
    double rate = 0.0;
    Instant last{};
};

} // namespace guavavalve
