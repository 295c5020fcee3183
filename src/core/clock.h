#pragma once

#include <time.h> // NOLINT(modernize-deprecated-headers): clock_gettime is POSIX

#include <chrono>
#include <functional>

namespace guavavalve {

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

/// A point on this process's monotonic clock. Instants of different processes must not be
/// compared: messages carry the remaining time, and the receiver computes its own deadline.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Microseconds>;

/// Source of the current time; tests supply their own.
using Clock = std::function<Instant()>;

/// The monotonic time of this process, including time during which the machine was suspended.
///
/// Reads CLOCK_BOOTTIME because the steady clock stops during a suspension: a leader that resumes
/// would still consider its lease valid after the other replicas have let it expire. Waits of the
/// standard library use the steady clock, so wait for the duration that untilDeadline() returns
/// and never pass an Instant to wait_until().
inline Instant monotonicNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(std::chrono::duration_cast<Microseconds>(
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

/// The time remaining until \a deadline, for use in a wait: zero if it has passed, and one hour at
/// most (waits are repeated, and a longer duration overflows in the standard library's arithmetic).
inline Microseconds untilDeadline(Instant deadline)
{
    constexpr Microseconds maxWait = std::chrono::hours(1);
    const Instant now = monotonicNow();
    if (deadline <= now)
        return Microseconds(0);
    return deadline - now < maxWait ? deadline - now : maxWait;
}

} // namespace guavavalve
