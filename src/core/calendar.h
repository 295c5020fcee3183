#pragma once

#include <chrono>
#include <cstdint>

namespace guavavalve {

/// The time of day in milliseconds since 1970. It may jump: it decides nothing but when something
/// is due by the calendar, and which start of a target is the later one.
inline std::int64_t calendarNowMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace guavavalve
