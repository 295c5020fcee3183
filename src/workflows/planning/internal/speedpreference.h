#pragma once

#include "workflows/planning/internal/readystep.h"
#include "workflows/planning/planner.h"

#include <cstdint>
#include <utility>

namespace guavavalve::workflows::internal {

/// Position of a target in the order of speeds: 0 for the usual speed, negative for faster ones.
/// Targets whose run times differ by less than a seventh share a position, so that the room on them
/// decides.
int speedPosition(double logSlowness);

/// The logarithm of the slowness up to which a target should still finish a task in time, given
/// the time left beyond the caller's estimate. Infinite if no target would.
double maxLogSlownessFor(std::uint32_t estimatedMs, std::int64_t slackMs);

/// How well a target's speed suits a step; lower is better. The first part is 1 if the step will
/// probably miss its objective there.
using SpeedScore = std::pair<int, int>;

/// Tasks that are not urgent also go to idle targets whose speed is to be learned.
SpeedScore speedScore(const ReadyStep &step, const OpenTarget &target);

} // namespace guavavalve::workflows::internal
