#pragma once

#include "core/error.h"
#include "replicas/raftoutput.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

namespace guavavalve {

class Storage;

/// Queues the output of a RaftCore, in order, until the disk has accepted it.
///
/// A replica must neither exit because its disk is full nor send a message that depends on anything
/// that it has not stored. Output that the disk refuses is kept and retried in order; the votes,
/// acknowledgements and candidacies that depend on it are sent only after it is stored. A leader
/// keeps working meanwhile: an entry commits once a quorum of the other replicas has stored it.
class UnsavedOutput
{
public:
    struct Hooks
    {
        std::function<void(std::vector<OutgoingMessage> &messages)> send;
        /// Called after a snapshot was saved: replaces the state and releases older segments.
        std::function<Result<void>(InstalledSnapshot snapshot)> onSnapshotSaved;
    };

    /// Sends the messages that do not depend on storage and queues the rest.
    void add(RaftOutput output, const Hooks &hooks);

    /// Stores as much as the disk accepts, and sends the messages of each output once it is stored.
    /// \errors WriteRefused: the remaining output may be retried. Others are those of Storage.
    Result<void> store(Storage &storage, const Hooks &hooks);

    /// True when RaftCore::persisted() may be called.
    bool isEmpty() const { return this->queue.empty(); }
    /// True while an unsaved snapshot is queued. Committed entries may lie beyond it and must not
    /// be applied before it.
    bool holdsSnapshot() const;
    /// Approximate memory taken by unsaved entries and snapshots.
    std::size_t bytes() const { return this->heldBytes; }

private:
    bool holdsHardState() const;
    static std::size_t bytesOf(const RaftOutput &output);

    std::deque<RaftOutput> queue;
    std::size_t heldBytes = 0;
};

} // namespace guavavalve
