#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/ids.h"
#include "journal/replicaidentity.h"
#include "replicas/replicatedlog.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace guavavalve {

/// Settings of one replica of one group.
struct RaftOptions
{
    InstanceId instance;
    std::string address; ///< "ip:port" at which the others reach this instance's messenger
    std::string clusterId;
    GroupId group{};
    std::string dataFolder; ///< the group's files go to its folder "group-N"

    Milliseconds heartbeat{50};
    /// An election starts after a random time between these two without a leader.
    Milliseconds electionMin{300};
    Milliseconds electionMax{600};

    std::size_t maxCommandBytes = 4U << 20U; ///< one command
    std::size_t maxBatchBytes = 1U << 20U; ///< entries in one message, beyond the first
    std::size_t maxInFlightBytes = 8U << 20U; ///< sent to one follower and not yet answered
    std::size_t maxQueuedProposals = 16384; ///< proposed and not yet applied
    std::size_t maxQueuedBytes = 32U << 20U; ///< proposed and not yet applied
    std::size_t snapshotChunkBytes = 256U << 10U;
    std::size_t maxSnapshotBytes = 512U << 20U;
    /// A snapshot is taken once the log holds this much after the last one.
    std::size_t snapshotAfterEntries = 20000;
    std::size_t snapshotAfterBytes = 16U << 20U;
    /// Entries kept in memory behind a snapshot, so that a follower a little behind needs none.
    std::size_t retainedEntries = 2000;
    std::size_t retainedBytes = 8U << 20U; ///< the same, in bytes

    /// A voter silent for this long is gone for good: a spare takes its place. Zero: never.
    Milliseconds goneAfter{0};
    /// Instances with an empty data folder that may take a gone voter's place, best first.
    std::function<std::vector<ReplicaMember>()> spares;

    Clock clock = monotonicNow;
    std::function<std::uint64_t()> random; ///< empty: std::random_device
    /// Called outside any lock, in order: true once this replica leads and has applied its own
    /// first entry of the term, so everything committed before is in the state; false when it
    /// no longer leads.
    std::function<void(bool leads, std::uint64_t term)> onLeadership;
    /// Entries that wait for a disk that refuses writes. With half of it a leader hands over;
    /// beyond it the replica takes part in nothing until the disk takes them. At 250 KB a second,
    /// four times what the users' cells write, half lasts for 16 s.
    std::size_t maxUnsavedBytes = 8U << 20U;
    /// Called on the log's thread when the disk begins to refuse writes, and, with nothing, when it
    /// takes them again.
    std::function<void(const std::optional<Error> &refusal)> onDiskRefusal;
    /// Called when a write or sync failed other than by a refusal. What is on the disk is then
    /// unknown and the process must end; the default prints the error and aborts.
    std::function<void(const Error &)> onStorageFailure;
};

} // namespace guavavalve
