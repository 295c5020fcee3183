#include "workflows/sessions/reportsequence.h"

namespace guavavalve::workflows {

namespace {

/// Longer than a path holds up a report before its connection breaks.
constexpr Milliseconds maxReportDelay{15000};
/// Late reports come one by one; a target that is alive sends several in that time.
constexpr unsigned minLowerReports = 5;

} // namespace

bool ReportSequence::accepts(std::uint64_t sequence, Instant now)
{
    if (sequence < this->highest) {
        const bool rises = this->lowerSince != Instant{} && sequence > this->lastLower;
        if (!rises) {
            this->lowerSince = now;
            this->lowerReports = 0;
        }
        this->lastLower = sequence;
        ++this->lowerReports;
        if (this->lowerReports < minLowerReports || now <= this->lowerSince + maxReportDelay)
            return false;
    }
    this->highest = sequence;
    this->lowerSince = {};
    return true;
}

} // namespace guavavalve::workflows
