#pragma once

#include <chrono>
#include <functional>

namespace guavavalve {

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

/// A point on one process's monotonic clock. Never compared between processes: a message carries
/// the time that remains, and the receiver turns it into a deadline of its own.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Microseconds>;

/// Source of the present time; tests supply their own.
using Clock = std::function<Instant()>;

/// The monotonic clock of this process.
inline Instant monotonicNow()
{
    return std::chrono::time_point_cast<Microseconds>(std::chrono::steady_clock::now());
}

} // namespace guavavalve
