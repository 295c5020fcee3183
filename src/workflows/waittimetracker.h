#pragma once

#include "core/clock.h"
#include "workflows/waitcause.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// How long a step has waited in all, by cause.
using WaitTimes = std::array<Microseconds, waitCauseCount>;

/// Adds up what each waiting step has waited for, from plan to plan. Its figures begin with the
/// controller. Pure; not thread-safe.
class WaitTimeTracker
{
public:
    /// A plan has left \a waiting without places; other steps wait for nothing now.
    void planned(const std::vector<WaitingStep> &waiting, Instant now);
    /// What the step has waited for so far.
    WaitTimes times(const StepAddress &step, Instant now) const;
    /// Forgets steps that have not waited for a while.
    void dropOld(Instant now);
    void clear() { this->waits.clear(); }

private:
    struct Wait
    {
        WaitTimes total{};
        WaitCause cause = WaitCause::Room;
        bool isWaiting = false;
        Instant since{}; ///< of the cause, or of the end of the wait
    };

    std::map<StepAddress, Wait> waits;
};

/// As "asker:12,room:340", in milliseconds; causes without any are left out.
std::string describe(const WaitTimes &times);

} // namespace guavavalve::workflows
