#include "workflows/planning/waittimetracker.h"

#include <cstddef>
#include <iterator>

namespace guavavalve::workflows {

namespace {

/// Retention of a step's times after its wait: those of a step that one plan has placed completely
/// are not read again.
constexpr Milliseconds retention{5000};

} // namespace

void WaitTimeTracker::planned(const std::vector<WaitingStep> &waiting, Instant now)
{
    for (auto &[step, wait] : this->waits) {
        if (wait.isWaiting)
            wait.total[static_cast<std::size_t>(wait.cause)] += now - wait.since;
        wait.isWaiting = false;
    }
    for (const WaitingStep &one : waiting) {
        Wait &wait = this->waits[one.step];
        wait.isWaiting = true;
        wait.cause = one.cause;
        wait.since = now;
    }
}

WaitTimes WaitTimeTracker::times(const StepAddress &step, Instant now) const
{
    const auto found = this->waits.find(step);
    if (found == this->waits.end())
        return {};
    WaitTimes times = found->second.total;
    if (found->second.isWaiting)
        times[static_cast<std::size_t>(found->second.cause)] += now - found->second.since;
    return times;
}

void WaitTimeTracker::dropOld(Instant now)
{
    for (auto wait = this->waits.begin(); wait != this->waits.end();) {
        const bool isOld = !wait->second.isWaiting && wait->second.since + retention < now;
        wait = isOld ? this->waits.erase(wait) : std::next(wait);
    }
}

std::string describe(const WaitTimes &times)
{
    std::string text;
    for (const auto &[cause, name] : waitCauseNames) {
        const auto waited =
            std::chrono::duration_cast<Milliseconds>(times[static_cast<std::size_t>(cause)]);
        if (waited.count() == 0)
            continue;
        text +=
            (text.empty() ? "" : ",") + std::string(name) + ":" + std::to_string(waited.count());
    }
    return text;
}

} // namespace guavavalve::workflows
