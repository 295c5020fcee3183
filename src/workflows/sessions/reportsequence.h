#pragma once

#include "core/clock.h"

#include <cstdint>

namespace guavavalve::workflows {

/// Tells reports of one incarnation of a target that are in order from late ones. Pure.
class ReportSequence
{
public:
    /// Whether a report with \a sequence is not older than one before it.
    ///
    /// Guards against a sequence that another writer has sent and that the target will never reach:
    /// reports that keep rising below it for longer than any is delayed are its own.
    bool accepts(std::uint64_t sequence, Instant now);

private:
    std::uint64_t highest = 0;
    std::uint64_t lastLower = 0;
    unsigned lowerReports = 0; ///< in the series
    Instant lowerSince{}; ///< when the series of rising reports below the highest one began
};

} // namespace guavavalve::workflows
