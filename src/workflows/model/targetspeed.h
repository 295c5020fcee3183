#pragma once

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace guavavalve::workflows {

/// The learned speed of a target, as it is stored. Whole numbers, so that every replica stores the
/// same.
struct TargetSpeed
{
    std::string name; ///< of the target; the same in all its incarnations
    /// Its address, labels and capacity, shortened: a target of another kind has another speed.
    std::string kind;
    /// Thousandths of the natural logarithm of its run times relative to those of all targets.
    std::int32_t logSlowness = 0;
    /// What has been observed, as the inverse of the variance of the logarithm.
    std::uint32_t precision = 0;
    std::int64_t learnedAtMs = 0; ///< calendar time of the controller

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->kind, this->logSlowness, this->precision, this->learnedAtMs);
    }
};

} // namespace guavavalve::workflows
