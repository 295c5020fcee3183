#include "decisions/workprofile.h"

#include <algorithm>
#include <cmath>

namespace guavavalve::internal {

namespace {

// Increasing a size is safe and needs few samples; decreasing it needs more.
constexpr std::uint32_t samplesToGrow = 4;
constexpr std::uint32_t samplesToShrink = 16;
constexpr double minFactor = 0.25;
constexpr double maxFactor = 4.0;
/// Sizes are corrected in steps. A size that changed with each sample would make every queue search
/// the fleet again.
constexpr double factorStep = 1.1;
/// Deviations above the mean that a size covers, so that it suffices for the peak of most tasks.
constexpr double deviationsAbove = 2.0;
/// Relative difference below which a size is not corrected.
constexpr double deadBand = 0.1;

constexpr std::uint32_t minRunTimeSamples = 4;

// Prior of the failure probability: one in ten, with the weight of ten outcomes.
constexpr float priorFailures = 1.0F;
constexpr float priorOutcomes = 10.0F;
constexpr float successesForHalfConfidence = 2.0F;
constexpr float maxOutcomeWeight = 64.0F;

std::int64_t scaled(std::int64_t amount, double factor)
{
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(amount) * factor));
}

} // namespace

void WorkProfile::addUsage(const Resources &need, const Resources &used)
{
    const auto ratio = [&need, &used](ResourceKind kind) {
        return static_cast<double>(used[kind]) / static_cast<double>(need[kind]);
    };
    if (need[ResourceKind::MilliCores] > 0)
        this->coreRatio.add(ratio(ResourceKind::MilliCores));
    if (need[ResourceKind::MemoryMb] > 0)
        this->memoryRatio.add(ratio(ResourceKind::MemoryMb));
}

void WorkProfile::addRunTime(Microseconds runTime)
{
    this->runSeconds.add(std::chrono::duration<double>(runTime).count());
}

void WorkProfile::addOutcome(bool failed, double suspicion)
{
    // A target that fails everything must not raise the failure probability of the work. Otherwise
    // its failures would soon no longer count against the target.
    const float weight = static_cast<float>(1.0 / (1.0 + suspicion));
    (failed ? this->failures : this->successes) += weight;
    if (this->failures + this->successes > maxOutcomeWeight) {
        this->failures /= 2;
        this->successes /= 2;
    }
}

double WorkProfile::factorOf(const MovingMean &ratio)
{
    if (ratio.count() < samplesToGrow)
        return 1.0;
    const double wanted = std::max(ratio.mean() + deviationsAbove * ratio.deviation(), minFactor);
    if (wanted < 1.0 && ratio.count() < samplesToShrink)
        return 1.0;
    if (std::abs(wanted - 1.0) < deadBand)
        return 1.0;
    const double steps = std::ceil(std::log(wanted) / std::log(factorStep) - 1e-6);
    return std::clamp(std::pow(factorStep, steps), minFactor, maxFactor);
}

Resources WorkProfile::corrected(const Resources &need) const
{
    Resources charge = need;
    charge[ResourceKind::MilliCores] =
        scaled(need[ResourceKind::MilliCores], factorOf(this->coreRatio));
    charge[ResourceKind::MemoryMb] =
        scaled(need[ResourceKind::MemoryMb], factorOf(this->memoryRatio));
    return charge;
}

Microseconds WorkProfile::expectedRunTime(Microseconds declared) const
{
    if (this->runSeconds.count() < minRunTimeSamples)
        return declared;
    const double seconds = this->runSeconds.mean() + this->runSeconds.deviation();
    return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double>(seconds));
}

double WorkProfile::failureChance() const
{
    return (this->failures + priorFailures) / (this->failures + this->successes + priorOutcomes);
}

double WorkProfile::successConfidence() const
{
    return this->successes / (this->successes + successesForHalfConfidence);
}

} // namespace guavavalve::internal
