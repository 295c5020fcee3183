#pragma once

#include "core/clock.h"
#include "workflows/model/waitcause.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// Total waiting time of a step, by cause.
using WaitTimes = std::array<Microseconds, waitCauseCount>;

/// Accumulates the waiting times of each step by cause, from plan to plan, starting with the
/// controller's term. Pure; not thread-safe.
class WaitTimeTracker
{
public:
    /// A plan has left the steps in \a waiting unplaced; no other steps are waiting now.
    void planned(const std::vector<WaitingStep> &waiting, Instant now);
    /// Waiting times of the step so far.
    WaitTimes times(const StepAddress &step, Instant now) const;
    /// Drops steps that have not waited for a while.
    void dropOld(Instant now);
    void clear() { this->waits.clear(); }

private:
    struct Wait
    {
        WaitTimes total{};
        WaitCause cause = WaitCause::Room;
        bool isWaiting = false;
        Instant since{}; ///< start of the current cause, or end of the wait
    };

    std::map<StepAddress, Wait> waits;
};

/// Formats \a times as "asker:12,room:340", in milliseconds, without causes that are zero.
std::string describe(const WaitTimes &times);

} // namespace guavavalve::workflows
