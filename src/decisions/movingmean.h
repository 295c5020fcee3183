#pragma once

#include <cmath>
#include <cstdint>

namespace guavavalve::internal {

/// Moving mean and mean deviation, estimated as TCP does for round-trip times (Jacobson, 1988).
/// The first samples are averaged with equal weight; the deviation starts at half of the first
/// sample.
class MovingMean
{
public:
    void add(double sample)
    {
        this->samples = this->samples < maxWeight ? this->samples + 1 : maxWeight;
        const double gain = 1.0 / static_cast<double>(this->samples);
        if (this->samples == 1) {
            this->meanValue = static_cast<float>(sample);
            this->deviationValue = static_cast<float>(std::abs(sample) / 2.0);
            return;
        }
        const double error = sample - this->meanValue;
        this->meanValue += static_cast<float>(gain * error);
        this->deviationValue += static_cast<float>(gain * (std::abs(error) - this->deviationValue));
    }

    double mean() const { return this->meanValue; }
    double deviation() const { return this->deviationValue; }
    std::uint32_t count() const { return this->samples; }

private:
    static constexpr std::uint32_t maxWeight = 32;

    float meanValue = 0.0F;
    float deviationValue = 0.0F;
    std::uint32_t samples = 0;
};

} // namespace guavavalve::internal
