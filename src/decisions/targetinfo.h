#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <cstdint>

namespace guavavalve {

/// What the scheduler knows of an announced target. Names are interned to numbers by the caller.
struct TargetInfo
{
    TargetId id = TargetId::None;
    Incarnation incarnation = 0;
    std::uint16_t failureDomain = 0;
    std::uint16_t rack = 0; ///< unique over failure domains
    Resources total;
    bool departing = false; ///< gets nothing new
};

} // namespace guavavalve
