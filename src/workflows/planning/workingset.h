#pragma once

#include "core/clock.h"
#include "core/resources.h"

#include <cstddef>

namespace guavavalve::workflows {

/// What a plan says about the targets that are polled and about the work for them.
struct WorkingSetDemand
{
    std::size_t known = 0; ///< targets that could be polled
    std::size_t polled = 0; ///< of these, those that are polled now
    std::size_t open = 0; ///< of these, those that accept work
    Resources capacity; ///< of the open ones
    Resources free; ///< of the open ones, after the plan's placements
    Resources placed; ///< occupied by all placed tasks
    Resources waiting; ///< needed by all ready tasks without a place
    bool isShort = false; ///< steps wait for room
};

/// Decides how many targets a controller polls. Pure; not thread-safe.
///
/// Polling a target costs the controller the same whether the target has work or not, so in a large
/// fleet with little work the cost follows the work and not the fleet: enough targets are polled to
/// hold all the work several times over, and the others only send their reports.
class WorkingSet
{
public:
    /// Fleets of up to this many targets are always polled as a whole.
    static constexpr std::size_t minPolled = 400;

    /// Number of targets that are to be polled in addition. Zero until those that were missing last
    /// have had time to answer.
    std::size_t missing(const WorkingSetDemand &demand, Instant now);
    /// Number of polled targets that may rest once they are idle. Zero for some time after targets
    /// were missing.
    std::size_t surplus(const WorkingSetDemand &demand, Instant now) const;

private:
    Instant settledAt{}; ///< those that were missing last have answered by then
    Instant restAfter{};
};

} // namespace guavavalve::workflows
