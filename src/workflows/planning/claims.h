#pragma once

#include "core/clock.h"
#include "workflows/model/ids.h"

#include <cstdint>
#include <map>

namespace guavavalve::workflows {

/// Room that is reserved for one step while an admission query about it is pending.
///
/// Guards against a gang that never starts: small tasks would take the room found at the time of
/// the query before the answer arrives, and the gang would repeat the query indefinitely.
struct Claim
{
    std::map<IncarnationId, std::uint16_t> tasks; ///< number of the step's tasks by target
    Instant until{}; ///< the room is released at this time
};

using ClaimTable = std::map<StepAddress, Claim>;

} // namespace guavavalve::workflows
