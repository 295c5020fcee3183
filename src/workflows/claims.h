#pragma once

#include "core/clock.h"
#include "workflows/ids.h"

#include <cstdint>
#include <map>

namespace guavavalve::workflows {

/// Room that is kept for one step while a question about it is under way.
///
/// Guards against a gang that never starts: the room that was there when its targets were asked
/// about would be taken by small tasks before the answer comes, and it would ask again for ever.
struct Claim
{
    std::map<IncarnationId, std::uint16_t> tasks; ///< how many of the step's tasks fit where
    Instant until{}; ///< then the room is anybody's again
};

using ClaimTable = std::map<StepAddress, Claim>;

} // namespace guavavalve::workflows
