#pragma once

#include <cstdint>

namespace guavavalve::internal {

/// Index of a record in one of the scheduler's tables.
using Index = std::uint32_t;

inline constexpr Index noIndex = 0xffffffffU;

} // namespace guavavalve::internal
