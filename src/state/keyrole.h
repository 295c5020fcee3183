#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve {

/// What a key may do.
enum class KeyRole : std::uint8_t {
    Operator, ///< writes every section, grants and withdraws keys
    Team, ///< submits its team's work and writes its team's section, but for share and limit
};

inline constexpr EnumNames<KeyRole, 2> keyRoleNames{{
    {KeyRole::Operator, "operator"},
    {KeyRole::Team, "team"},
}};

} // namespace guavavalve
