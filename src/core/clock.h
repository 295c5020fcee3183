#pragma once

#include <time.h> // NOLINT(modernize-deprecated-headers): clock_gettime is POSIX

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

/// The monotonic clock of this process, which counts the time that the machine was suspended.
///
/// Guards against a lease that is believed after a suspension: the steady clock stands still
/// meanwhile, so a leader that wakes would see its lease unspent although others have let it
/// lapse. CLOCK_BOOTTIME goes on. Waits of the standard library use the steady clock, so a
/// deadline is waited for by untilDeadline() and never handed to wait_until().
inline Instant monotonicNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(std::chrono::duration_cast<Microseconds>(
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

/// How long \a deadline is away, for a wait; zero if it has passed, an hour at the most (waits
/// are repeated, and a larger span overflows in the library's arithmetic).
inline Microseconds untilDeadline(Instant deadline)
{
    constexpr Microseconds longest = std::chrono::hours(1);
    const Instant now = monotonicNow();
    if (deadline <= now)
        return Microseconds(0);
    return deadline - now < longest ? deadline - now : longest;
}

} // namespace guavavalve
