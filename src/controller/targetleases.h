#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace guavavalve {

/// When the lease of each target has lapsed, that is, has certainly expired, by the controller's
/// monotonic clock.
///
/// Work must not be moved off a target that still runs it, or the same task would run in two
/// places. The target counts its lease from the time it sent the announcement. The controller
/// counts it from the time it replied and adds a margin for clock drift, so its end is always the
/// later one. Not thread safe. Cost of each call: logarithmic in the number of targets.
class TargetLeases
{
public:
    /// \a lapse: when the lease granted now and its margin have passed. Never shortens a lease.
    void renew(TargetId target, Instant lapse);

    void forget(TargetId target);
    void clear();

    /// Removes and returns the targets whose lease has lapsed at \a now.
    std::vector<TargetId> takeLapsed(Instant now);

private:
    std::map<TargetId, Instant> lapseOf;
    std::set<std::pair<Instant, TargetId>> byLapse;
};

} // namespace guavavalve
