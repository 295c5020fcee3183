#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace guavavalve {

/// When the lease of each target is over for certain, by the controller's monotonic clock.
///
/// Guards against moving work off a target that still runs it, which would show as the same task
/// in two places. The target counts its lease from when it sent the announcement, the controller
/// from when it gave the answer, and adds a margin for clock drift: the controller's end is always
/// the later one. Not thread safe. Cost of each call: logarithmic in the number of targets.
class TargetLeases
{
public:
    /// \a lapse: when the lease given now, and the margin, are over. Never brings an end forward.
    void renew(TargetId target, Instant lapse);

    void forget(TargetId target);
    void clear();

    /// Takes out the targets whose lease is over at \a now.
    std::vector<TargetId> takeLapsed(Instant now);

private:
    std::map<TargetId, Instant> lapseOf;
    std::set<std::pair<Instant, TargetId>> byLapse;
};

} // namespace guavavalve
