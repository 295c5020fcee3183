#include "workflows/sessions/targetclock.h"

namespace guavavalve::workflows {

namespace {

constexpr std::int64_t perThousand = 1000;
/// Readings are rounded, and answers on different connections may overtake each other while they
/// are processed.
constexpr std::int64_t readingToleranceMs = 150;

} // namespace

TargetClock::TargetClock(std::int64_t maxDriftPerThousand)
    : maxDriftPerThousand(maxDriftPerThousand)
{}

void TargetClock::answered(std::int64_t reading, Instant now)
{
    this->receivedAt = now;
    if (reading == 0)
        return;
    this->readingMs = reading;
    this->readAt = now;
}

std::int64_t TargetClock::estimateAt(Instant now) const
{
    return this->readingMs
        + std::chrono::duration_cast<Milliseconds>(now - this->receivedAt).count();
}

bool TargetClock::isBeforePossible(std::int64_t reading, Instant sentAt) const
{
    if (reading == 0 || this->readingMs == 0)
        return false;
    const std::int64_t passed =
        std::chrono::duration_cast<Milliseconds>(sentAt - this->readAt).count();
    const std::int64_t drift = passed > 0 ? passed * this->maxDriftPerThousand / perThousand : 0;
    return reading < this->readingMs + passed - drift - readingToleranceMs;
}

} // namespace guavavalve::workflows
