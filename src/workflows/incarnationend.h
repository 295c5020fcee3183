#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve::workflows {

/// How a controller has learned that a target's life is over.
enum class IncarnationEnd : std::uint8_t {
    Left, ///< it has said goodbye
    Reborn, ///< a later life of the target has reported itself
    Replaced, ///< another life, or another target, answers at its address
    Silent, ///< nothing has been heard of it for long
};

inline constexpr EnumNames<IncarnationEnd, 4> incarnationEndNames{{
    {IncarnationEnd::Left, "left"},
    {IncarnationEnd::Reborn, "reborn"},
    {IncarnationEnd::Replaced, "replaced"},
    {IncarnationEnd::Silent, "silent"},
}};

} // namespace guavavalve::workflows
