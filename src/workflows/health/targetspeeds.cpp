#include "workflows/health/targetspeeds.h"

#include <algorithm>
#include <cmath>

namespace guavavalve::workflows {

namespace {

/// Weight of the newest run in the mean over all targets.
constexpr double usualWeight = 0.01;
/// Earlier runs of a target lose this fraction of their weight with each new one.
constexpr double decay = 0.1;
/// A single run says little: estimates are off by a fifth and more. The mean of a target is drawn
/// towards the usual speed as if that many usual runs had been seen.
constexpr double priorWeight = 3.0;
/// Logarithm of the run time, relative to the usual one, beyond which a target is fast or slow.
constexpr double gradeLimit = 0.08;
/// Ratios beyond this factor tell of something else than speed, such as a task that stood still.
constexpr double maxRatio = 4.0;

} // namespace

void TargetSpeeds::succeeded(IncarnationId incarnation, Milliseconds took, Milliseconds estimated)
{
    if (took.count() <= 0 || estimated.count() <= 0)
        return;
    const double ratio = static_cast<double>(took.count()) / static_cast<double>(estimated.count());
    const double observed = std::log(std::clamp(ratio, 1.0 / maxRatio, maxRatio));
    this->usual = this->hasUsual ? this->usual + usualWeight * (observed - this->usual) : observed;
    this->hasUsual = true;
    Observed &target = this->targets[incarnation];
    target.sum = (1.0 - decay) * target.sum + observed - this->usual;
    target.weight = (1.0 - decay) * target.weight + 1.0;
}

SpeedGrade TargetSpeeds::grade(IncarnationId incarnation) const
{
    const auto found = this->targets.find(incarnation);
    if (found == this->targets.end())
        return SpeedGrade::Usual;
    const double mean = found->second.sum / (found->second.weight + priorWeight);
    if (std::abs(mean) <= gradeLimit)
        return SpeedGrade::Usual;
    return mean < 0.0 ? SpeedGrade::Fast : SpeedGrade::Slow;
}

void TargetSpeeds::clear()
{
    this->targets.clear();
    this->usual = 0.0;
    this->hasUsual = false;
}

} // namespace guavavalve::workflows
