#pragma once

#include "core/clock.h"
#include "core/resources.h"
#include "decisions/movingmean.h"

namespace guavavalve::internal {

/// Learned properties of the work of one team, class and shape: actual sizes, run times, and how
/// often it fails for reasons of its own.
class WorkProfile
{
public:
    /// Adds a measurement: a task that declared \a need uses \a used.
    void addUsage(const Resources &need, const Resources &used);

    /// Adds the run time of a task that succeeded.
    void addRunTime(Microseconds runTime);

    /// Adds the outcome of a task on a target with the given \a suspicion (0: none). The higher the
    /// suspicion, the less the outcome counts.
    void addOutcome(bool failed, double suspicion);

    /// \a need corrected by measured usage, in steps so that it rarely changes. Slots, connections
    /// and accelerators stay as declared.
    Resources corrected(const Resources &need) const;

    /// Expected run time of a task: as learned, otherwise \a declared; zero if neither is known.
    Microseconds expectedRunTime(Microseconds declared) const;

    /// Probability that a task of this work fails on a healthy target, strictly between 0 and 1.
    double failureChance() const;

    /// Confidence that this work can succeed at all, from 0 to 1.
    double successConfidence() const;

private:
    static double factorOf(const MovingMean &ratio);

    MovingMean coreRatio; ///< used / declared
    MovingMean memoryRatio;
    MovingMean runSeconds;
    float failures = 0.0F;
    float successes = 0.0F;
};

} // namespace guavavalve::internal
