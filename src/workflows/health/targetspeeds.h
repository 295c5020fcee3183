#pragma once

#include "core/clock.h"
#include "workflows/model/ids.h"

#include <cstdint>
#include <map>

namespace guavavalve::workflows {

/// How fast a target runs tasks, compared with the others. In the order of preference.
enum class SpeedGrade : std::uint8_t { Fast, Usual, Slow };

/// Learns the speed of targets from the run times of tasks, relative to their estimates. Estimates
/// that are wrong for all targets alike do not matter. Pure; not thread-safe.
class TargetSpeeds
{
public:
    /// A task with an estimated run time of \a estimated has succeeded there after \a took.
    void succeeded(IncarnationId incarnation, Milliseconds took, Milliseconds estimated);
    /// Usual until enough tasks have run there to tell.
    SpeedGrade grade(IncarnationId incarnation) const;
    void forget(IncarnationId incarnation) { this->targets.erase(incarnation); }
    void clear();

private:
    struct Observed
    {
        double sum = 0.0; ///< of the weighted logarithms of run time to estimate
        double weight = 0.0;
    };

    std::map<IncarnationId, Observed> targets;
    double usual = 0.0; ///< moving mean of the logarithms over all targets
    bool hasUsual = false;
};

} // namespace guavavalve::workflows
