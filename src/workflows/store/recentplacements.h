#pragma once

#include "core/clock.h"
#include "workflows/model/ids.h"

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

namespace guavavalve::workflows {

/// When this replica applied the placements of the last seconds. Not replicated: each replica
/// observes its own. Not thread-safe.
///
/// Tells a new leader which starts of its predecessor may still be under way.
class RecentPlacements
{
public:
    /// Longer than a controller may send the start of a run, even one that is slow to store it.
    static constexpr Milliseconds span{10000};

    explicit RecentPlacements(Instant now)
        : knownSince(now)
    {}

    void placed(const StepAddress &step, RunNumber run, Instant now);
    /// Placements from before \a now are unknown: the state was replaced as a whole.
    void forgetAll(Instant now);
    /// When the run was placed at the latest.
    Instant placedAt(const StepAddress &step, RunNumber run) const;
    std::size_t size() const { return this->times.size(); }

private:
    using Key = std::pair<StepAddress, RunNumber>;

    std::map<Key, Instant> times;
    std::deque<std::pair<Instant, Key>> order; ///< oldest first
    Instant knownSince; ///< all placements since then have been recorded or have left the span
};

} // namespace guavavalve::workflows
