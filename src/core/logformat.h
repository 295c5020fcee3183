#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve {

enum class LogFormat : std::uint8_t { Text, Json };

inline constexpr EnumNames<LogFormat, 2> logFormatNames{{
    {LogFormat::Text, "text"},
    {LogFormat::Json, "json"},
}};

} // namespace guavavalve
