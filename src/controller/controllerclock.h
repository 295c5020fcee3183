#pragma once

#include "controller/callstamp.h"
#include "core/clock.h"

#include <cstdint>
#include <mutex>

namespace guavavalve {

/// The controller's clock: microseconds since its machine started, including time during which it
/// was suspended. Comparable only between answers of the same controller in the same term.
inline std::int64_t controllerClockUs()
{
    return monotonicNow().time_since_epoch().count();
}

/// What an instance knows of the controller's clock. Thread-safe.
///
/// The time that it names is never later than the controller's own, see CallStamp. Of the answers
/// of one term, the one with the least delay counts.
class ControllerClock
{
public:
    /// \a controllerUs: the controller's clock when it sent an answer that arrived at \a arrived.
    void answerReceived(std::uint64_t term, std::int64_t controllerUs, Instant arrived);
    /// Forgets the clock: the controller does not report it.
    void reset();
    /// The stamp of a request received at \a receivedAt, which may be before the clock was learned;
    /// unknown if no controller has reported its clock.
    CallStamp stamp(Instant receivedAt) const;
    /// The same with the time after which it was sent.
    CallStamp stamp(Instant receivedAt, Instant sentNotBefore) const;

private:
    std::int64_t offsetAt(Instant now) const;

    mutable std::mutex mutex;
    std::uint64_t term = 0; ///< 0: the clock is not known
    std::int64_t offsetUs = 0; ///< the controller's clock minus this machine's, or less
    Instant measuredAt{};
};

} // namespace guavavalve
