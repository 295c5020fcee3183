#pragma once

#include "core/clock.h"
#include "journal/logindex.h"
#include "journal/replicaidentity.h"
#include "journal/snapshotmeta.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace guavavalve {

/// The replication state that a leader keeps for another replica.
struct Progress
{
    enum class State : std::uint8_t {
        Probe, ///< one message at a time, until a matching log index is known
        Replicate, ///< pipelined messages, bounded by RaftCoreOptions::maxInFlightBytes
        Snapshot, ///< a snapshot is sent, since the entries it needs have been compacted away
    };

    struct InFlight
    {
        LogIndex last = 0;
        std::size_t bytes = 0;
    };

    State state = State::Probe;
    LogIndex match = 0; ///< the last entry known to be synced on that replica
    LogIndex next = 1;
    std::deque<InFlight> inFlight;
    std::size_t inFlightBytes = 0;
    bool awaitingReply = false; ///< a probe or a snapshot chunk is in flight
    Instant replyDeadline{}; ///< without a reply by then, messages in flight count as lost
    Instant pausedUntil{}; ///< after a failed send: no retry before this instant
    Instant trackedSince{}; ///< when the leader began to track it
    Instant lastReplyAt{}; ///< when its last reply was received
    /// When its last reply was received by this leader or, if it has not replied to this one, by
    /// the one before; when that is unknown, when this one began to track it.
    Instant silentSince{};
    Instant lastAckedSendTime{}; ///< when the newest message that it has replied to was sent
    bool everReplied = false; ///< in this term
    SnapshotMeta snapshot;
    std::uint64_t snapshotOffset = 0;
    /// The replica that now answers at its address, because the disk there was lost; None if there
    /// is none.
    ReplicaId replacement = ReplicaId::None;

    void clearInFlight()
    {
        this->inFlight.clear();
        this->inFlightBytes = 0;
        this->awaitingReply = false;
    }
};

} // namespace guavavalve
