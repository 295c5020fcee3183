#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve::workflows {

/// How a controller learned that nothing runs any more on a target that has announced its end.
enum class DepartureEnd : std::uint8_t {
    NothingPlaced, ///< every run that was placed there has a known end
    OtherIncarnation, ///< another target answers at its address
    LeaseExpired, ///< every lease that it may have received has expired
};

inline constexpr EnumNames<DepartureEnd, 3> departureEndNames{{
    {DepartureEnd::NothingPlaced, "nothing-placed"},
    {DepartureEnd::OtherIncarnation, "other-life"},
    {DepartureEnd::LeaseExpired, "lease-expired"},
}};

} // namespace guavavalve::workflows
