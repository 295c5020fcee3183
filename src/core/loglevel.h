#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve {

enum class LogLevel : std::uint8_t { Debug, Information, Warning, Error };

inline constexpr EnumNames<LogLevel, 4> logLevelNames{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Information, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

} // namespace guavavalve
