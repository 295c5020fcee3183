#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve {

/// The permissions of an API key.
enum class KeyRole : std::uint8_t {
    Operator, ///< writes every section, grants and withdraws keys
    Team, ///< submits its team's work; writes its team's section except share and limit
};

inline constexpr EnumNames<KeyRole, 2> keyRoleNames{{
    {KeyRole::Operator, "operator"},
    {KeyRole::Team, "team"},
}};

} // namespace guavavalve
