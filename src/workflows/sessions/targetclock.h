#pragma once

#include "core/clock.h"

#include <cstdint>

namespace guavavalve::workflows {

/// The steady clock of one incarnation of a target, as far as its answers tell. Pure; not
/// thread-safe.
class TargetClock
{
public:
    /// \a maxDriftPerThousand: how much slower than this instance's clock it may run, in
    /// thousandths.
    explicit TargetClock(std::int64_t maxDriftPerThousand);

    bool isKnown() const { return this->receivedAt != Instant{}; }
    /// When the latest answer was received; its reading may be older, if it held none.
    Instant lastReceived() const { return this->receivedAt; }
    /// Records an answer. \a readingMs: 0 if it holds no reading.
    void answered(std::int64_t readingMs, Instant now);
    /// What the clock shows at \a now if it is not slow, in milliseconds.
    std::int64_t estimateAt(Instant now) const;
    /// True if this incarnation cannot have given \a readingMs in an answer to an order that was
    /// sent at \a sentAt: the clock of a later incarnation starts anew.
    bool isBeforePossible(std::int64_t readingMs, Instant sentAt) const;

private:
    std::int64_t maxDriftPerThousand;
    Instant receivedAt{};
    Instant readAt{}; ///< when the latest reading was received
    std::int64_t readingMs = 0; ///< the latest one; 0: none
};

} // namespace guavavalve::workflows
