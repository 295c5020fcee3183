#include "workflows/planning/internal/speedpreference.h"

#include <cmath>
#include <cstddef>
#include <limits>

namespace guavavalve::workflows::internal {

namespace {

/// Logarithm of the run times that count as one speed.
constexpr double logOfPosition = 0.15;
/// Tasks are expected to take this many times their callers' estimates, which are off by a factor
/// of two and more.
constexpr double estimateMargin = 1.5;

/// Tasks that run on a target at a time in order to learn its speed.
constexpr std::size_t exploringTasks = 2;
constexpr int beyondAnyPosition = 90;

} // namespace

int speedPosition(double logSlowness)
{
    return static_cast<int>(std::lround(logSlowness / logOfPosition));
}

double maxLogSlownessFor(std::uint32_t estimatedMs, std::int64_t slackMs)
{
    if (estimatedMs == 0 || slackMs <= 0)
        return std::numeric_limits<double>::infinity();
    const double relativeSlack = static_cast<double>(slackMs) / static_cast<double>(estimatedMs);
    return std::log((1.0 + relativeSlack) / estimateMargin);
}

SpeedScore speedScore(const ReadyStep &step, const OpenTarget &target)
{
    switch (step.speedPreference) {
    case SpeedPreference::None:
        return {0, 0};
    case SpeedPreference::Fastest:
        return {0, speedPosition(target.logSlowness)};
    case SpeedPreference::Slowest:
        break;
    }
    if (target.isWorthExploring && target.occupants < exploringTasks)
        return {0, -beyondAnyPosition};
    const int position = speedPosition(target.logSlowness);
    return target.logSlowness > step.maxLogSlowness ? SpeedScore{1, position}
                                                    : SpeedScore{0, -position};
}

} // namespace guavavalve::workflows::internal
