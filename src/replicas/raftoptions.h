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
    std::string address; ///< "ip:port" of this instance's messenger, as other members reach it
    std::string clusterId;
    GroupId group{};
    std::string dataFolder; ///< the group's files are stored in its subfolder "group-N"

    /// The members that found the group together at their first start, the same on all of them (see
    /// Founding). Empty: the group is formed by ReplicatedLog::form().
    std::vector<ReplicaMember> founders;
    /// The whole group starts for the first time: an empty disk has not been lost.
    bool isFirstStart = false;

    /// Members, voters and learners alike, whose disks hold an entry before it counts as committed,
    /// in addition to a majority of the voters; all members if there are fewer. f + 1 keeps each
    /// acknowledged entry on a disk when f disks are lost, also while the group is still growing.
    std::size_t minCopies = 1;

    Milliseconds heartbeat{50};
    /// An election starts after a random time in this range without contact to a leader.
    Milliseconds electionMin{300};
    Milliseconds electionMax{600};

    std::size_t maxCommandBytes = 4U << 20U; ///< of a single command
    std::size_t maxBatchBytes = 1U << 20U; ///< in one message; a single entry may exceed it
    std::size_t maxInFlightBytes = 8U << 20U; ///< sent to one follower and not yet acknowledged
    std::size_t maxQueuedProposals = 16384; ///< proposed and not yet applied
    std::size_t maxQueuedBytes = 32U << 20U; ///< proposed and not yet applied
    std::size_t snapshotChunkBytes = 256U << 10U;
    std::size_t maxSnapshotBytes = 512U << 20U;
    /// A snapshot is taken once the log has grown by this much since the last one.
    std::size_t snapshotAfterEntries = 20000;
    std::size_t snapshotAfterBytes = 16U << 20U;
    /// Entries retained in memory after a snapshot covers them, so that a follower that lags
    /// slightly can catch up without a snapshot.
    std::size_t retainedEntries = 2000;
    std::size_t retainedBytes = 8U << 20U; ///< the same, in bytes

    /// A voter that has not answered for this long, whoever led, is considered gone for good and is
    /// replaced by a spare, which is admitted as a learner after half of it. Zero: never.
    Milliseconds goneAfter{0};
    /// Instances with an empty data folder that may replace such a voter, in order of preference.
    std::function<std::vector<ReplicaMember>()> spares;

    Clock clock = monotonicNow;
    std::function<std::uint64_t()> random; ///< empty: std::random_device
    /// Called without any lock held, in order: true once this replica leads and has applied the
    /// first entry of its term, so that the state includes everything committed before; false when
    /// it no longer leads.
    std::function<void(bool leads, std::uint64_t term)> onLeadership;
    /// Limit for entries that are held in memory while the disk refuses writes. At half of it a
    /// leader transfers leadership; beyond it the replica stops participating in the group until
    /// the disk accepts them. At 250 KB/s, four times the write rate of the expected deployments,
    /// half of it is reached after 16 s.
    std::size_t maxUnsavedBytes = 8U << 20U;
    /// Called on the log's thread when the disk starts to refuse writes, and with std::nullopt when
    /// it accepts them again.
    std::function<void(const std::optional<Error> &refusal)> onDiskRefusal;
    /// Called when a write or sync failed in any other way and the replica stops participating,
    /// after each failed attempt to reopen its storage, and with std::nullopt when it participates
    /// again. Called on a thread of the node.
    std::function<void(const std::optional<Error> &failure)> onDiskFailure;
    /// Called for a fault after which this replica cannot continue: a broken invariant, a state
    /// that cannot be restored, or a failed write if the node cannot reopen its storage. The
    /// process must exit; the default prints the error and aborts.
    std::function<void(const Error &)> onStorageFailure;
};

} // namespace guavavalve
