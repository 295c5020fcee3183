#pragma once

#include "core/clock.h"

#include <cmath>

namespace guavavalve::internal {

/// Events a second, weighted by age with a time constant: constant space, no history.
class DecayingRate
{
public:
    void add(Instant now)
    {
        this->rate = this->at(now) + 1.0 / timeConstantSeconds;
        this->last = now;
    }

    /// The rate as it stands at \a now, events a second.
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
