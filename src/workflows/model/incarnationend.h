#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve::workflows {

/// How a controller learned that an incarnation of a target is over.
enum class IncarnationEnd : std::uint8_t {
    Left, ///< the target announced that it leaves
    Reborn, ///< a later incarnation of the target has reported
    Replaced, ///< another incarnation, or another target, answers at its address
    Silent, ///< nothing has been received from it for a long time
};

inline constexpr EnumNames<IncarnationEnd, 4> incarnationEndNames{{
    {IncarnationEnd::Left, "left"},
    {IncarnationEnd::Reborn, "reborn"},
    {IncarnationEnd::Replaced, "replaced"},
    {IncarnationEnd::Silent, "silent"},
}};

} // namespace guavavalve::workflows
