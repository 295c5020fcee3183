#include "workflows/planning/workingset.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace guavavalve::workflows {

namespace {

/// Free room on the polled targets, as a multiple of the room that placed and waiting tasks need.
/// The admission service may refuse seven of ten targets.
constexpr std::int64_t spareFactor = 2;
/// Targets rest only while the free room is this many times the room that placed and waiting tasks
/// need: more than spareFactor, so that a target is not put to rest and woken by turns.
constexpr std::int64_t restFactor = 3;
/// Pause after targets were missing before any may rest.
constexpr Milliseconds restDelay{3000};
/// While steps wait for room, the polled targets increase by one in this many at a time: what the
/// steps need may be rare among the targets.
constexpr std::size_t growthDivisor = 4;
/// Until then, targets that were missing may not have answered yet.
constexpr Milliseconds settleTime{100};

} // namespace

std::size_t WorkingSet::missing(const WorkingSetDemand &demand, Instant now)
{
    if (now < this->settledAt)
        return 0;
    std::size_t wanted = WorkingSet::minPolled;
    if (demand.isShort)
        wanted = std::max(wanted, demand.polled + demand.polled / growthDivisor + 1);
    const auto open = static_cast<std::int64_t>(demand.open);
    for (std::size_t i = 0; i < resourceKindCount; ++i) {
        const std::int64_t needed = demand.placed.amounts[i] + demand.waiting.amounts[i];
        const std::int64_t lacking = spareFactor * needed - demand.free.amounts[i];
        const std::int64_t each = open == 0 ? 0 : demand.capacity.amounts[i] / open;
        if (lacking > 0 && each > 0)
            wanted = std::max(wanted,
                              demand.polled + static_cast<std::size_t>((lacking - 1) / each + 1));
    }
    wanted = std::min(wanted, demand.known);
    if (wanted <= demand.polled)
        return 0;
    this->settledAt = now + settleTime;
    this->restAfter = now + restDelay;
    return wanted - demand.polled;
}

std::size_t WorkingSet::surplus(const WorkingSetDemand &demand, Instant now) const
{
    if (now < this->restAfter || demand.open == 0 || demand.polled <= WorkingSet::minPolled)
        return 0;
    std::int64_t spare = std::numeric_limits<std::int64_t>::max();
    for (std::size_t i = 0; i < resourceKindCount; ++i) {
        const std::int64_t each =
            demand.capacity.amounts[i] / static_cast<std::int64_t>(demand.open);
        const std::int64_t needed = demand.placed.amounts[i] + demand.waiting.amounts[i];
        if (each > 0)
            spare = std::min(spare, (demand.free.amounts[i] - restFactor * needed) / each);
    }
    return std::min(static_cast<std::size_t>(std::max<std::int64_t>(0, spare)),
                    demand.polled - WorkingSet::minPolled);
}

} // namespace guavavalve::workflows
