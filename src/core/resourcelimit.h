#pragma once

#include "core/resources.h"

#include <cstdint>

namespace guavavalve {

/// Amount that means "no limit"; small enough that adding other amounts does not overflow.
inline constexpr std::int64_t unlimitedAmount = std::int64_t{1} << 53;

/// Amounts that limit no kind of resource.
inline Resources unlimitedResources()
{
    Resources all;
    all.amounts.fill(unlimitedAmount);
    return all;
}

} // namespace guavavalve
