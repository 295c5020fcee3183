#pragma once

#include "core/clock.h"

#include <cmath>

namespace guavavalve::internal {

/// Exponentially decaying event rate. Uses constant space; no event history is kept.
class DecayingRate
{
public:
    void add(Instant now)
    {
        this->rate = this->at(now) + 1.0 / timeConstantSeconds;
        this->last = now;
    }

    /// The rate at \a now, in events per second.
    double at(Instant now) const
    {
        const double age = std::chrono::duration<double>(now - this->last).count();
        return age <= 0.0 ? this->rate : this->rate * std::exp(-age / timeConstantSeconds);
    }

private:
    static constexpr double timeConstantSeconds = 5.0;

    double rate = 0.0;
    Instant last{};
};

} // namespace guavavalve::internal
