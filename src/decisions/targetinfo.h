#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <cstdint>

namespace guavavalve {

/// An announced target as the scheduler sees it. The caller maps names to numbers.
struct TargetInfo
{
    TargetId id = TargetId::None;
    Incarnation incarnation = 0;
    std::uint16_t failureDomain = 0;
    std::uint16_t rack = 0; ///< number is unique across failure domains
    Resources total;
    bool departing = false; ///< gets no new tasks
};

} // namespace guavavalve
