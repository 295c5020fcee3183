#pragma once

#include "core/clock.h"
#include "core/resources.h"
#include "decisions/movingmean.h"

namespace guavavalve::internal {

/// What has been learned of the work of one team, class and shape: real sizes, run times and how
/// often it fails through its own fault.
class WorkProfile
{
public:
    /// A task that declared \a need was measured to use \a used.
    void addUsage(const Resources &need, const Resources &used);

    /// A task ran for \a runTime to its good end.
    void addRunTime(Microseconds runTime);

    /// A task ended on a target that is suspect to the degree \a suspicion (0: not at all).
    void addOutcome(bool failed, double suspicion);

    /// \a need as usage has shown it to be, in steps so that it rarely changes. Slots,
    /// connections and accelerators are exact as declared.
    Resources corrected(const Resources &need) const;

    /// How long a task will run: learned, else as declared, else zero for unknown.
    Microseconds expectedRunTime(Microseconds declared) const;

    /// Chance that a task of this work fails on a sound target, 0 to 1, never quite either.
    double failureChance() const;

    /// How well it is known that this work can succeed at all, 0 to 1.
    double trust() const;

private:
    static double factorOf(const MovingMean &ratio);

    MovingMean coreRatio; ///< used / declared
    MovingMean memoryRatio;
    MovingMean runSeconds;
    float failures = 0.0F;
    float successes = 0.0F;
};

} // namespace guavavalve::internal
