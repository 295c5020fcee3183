#pragma once

#include "core/clock.h"
#include "journal/logindex.h"
#include "journal/replicaidentity.h"
#include "journal/snapshotmeta.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace guavavalve {

/// What a leader knows of one other replica.
struct Progress
{
    enum class State : std::uint8_t {
        Probe, ///< one message at a time, until the logs are known to agree somewhere
        Replicate, ///< many messages under way, bounded by their bytes
        Snapshot, ///< it needs entries that are gone here
    };

    struct InFlight
    {
        LogIndex last = 0;
        std::size_t bytes = 0;
    };

    State state = State::Probe;
    LogIndex match = 0; ///< known to be synced there
    LogIndex next = 1;
    std::deque<InFlight> inFlight;
    std::size_t inFlightBytes = 0;
    bool awaiting = false; ///< a probe or a piece of a snapshot is under way
    Instant stalledAt{}; ///< no answer by then: what is under way counts for lost
    Instant pausedUntil{}; ///< could not be reached: no new try before
    Instant answeredAt{}; ///< when anything last came from it
    Instant leaseFrom{}; ///< when the last message that it answered was sent
    bool everAnswered = false; ///< in this term
    SnapshotMeta snapshot;
    std::uint64_t snapshotOffset = 0;
    /// Another replica answers at its address: the disk there was lost.
    ReplicaId foundInstead = ReplicaId::None;

    void clearInFlight()
    {
        this->inFlight.clear();
        this->inFlightBytes = 0;
        this->awaiting = false;
    }
};

} // namespace guavavalve
