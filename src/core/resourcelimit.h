#pragma once

#include "core/resources.h"

#include <cstdint>

namespace guavavalve {

/// The amount that stands for "no limit"; far from overflow when amounts are added to it.
inline constexpr std::int64_t unlimitedAmount = std::int64_t{1} << 53;

/// No limit on any kind of resource.
inline Resources unlimitedResources()
{
    Resources all;
    all.amounts.fill(unlimitedAmount);
    return all;
}

} // namespace guavavalve
