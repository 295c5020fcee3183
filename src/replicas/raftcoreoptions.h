#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "journal/replicaidentity.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace guavavalve {

/// Settings of a RaftCore; documented in RaftOptions.
struct RaftCoreOptions
{
    InstanceId instance;
    GroupId group{};
    Milliseconds heartbeat{50};
    Milliseconds electionMin{300};
    Milliseconds electionMax{600};
    std::size_t maxBatchBytes = 1U << 20U;
    std::size_t maxInFlightBytes = 8U << 20U;
    std::size_t snapshotChunkBytes = 256U << 10U;
    std::size_t maxSnapshotBytes = 512U << 20U;
    std::size_t retainedEntries = 2000;
    std::size_t retainedBytes = 8U << 20U;
    std::size_t minCopies = 1;
    Milliseconds goneAfter{0};
    /// A learner that has not replied for this long is removed; longer than a machine's restart.
    Milliseconds learnerTimeout{60000};
    std::function<std::uint64_t()> random;
};

} // namespace guavavalve
