#pragma once

#include "core/error.h"
#include "replicas/raftoutput.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

namespace guavavalve {

class Storage;

/// What a RaftCore wants stored and sent, in order, while its disk may refuse writes.
///
/// Guards against a replica that ends its process because its disk is full, and against one that
/// speaks for what it has not stored. What is refused is kept and tried again in its order; the
/// votes, acknowledgements and candidacies that rest on it wait behind it. A leader goes on
/// meanwhile: an entry commits once a quorum of the others has stored it.
class UnsavedOutput
{
public:
    struct Hooks
    {
        std::function<void(std::vector<OutgoingMessage> &messages)> send;
        /// A snapshot has been saved: the state is to be replaced, older segments may go.
        std::function<Result<void>(InstalledSnapshot snapshot)> installed;
    };

    /// Sends what needs no storing and queues the rest behind what is unsaved.
    void add(RaftOutput output, const Hooks &hooks);

    /// Stores as much as the disk takes, each followed by its messages.
    /// \errors WriteRefused: what is left may be tried again. Others are those of Storage.
    Result<void> store(Storage &storage, const Hooks &hooks);

    /// True when RaftCore::persisted() may be called.
    bool isEmpty() const { return this->queue.empty(); }
    /// Committed entries may be beyond a snapshot that is not saved.
    bool holdsSnapshot() const;
    /// About what the entries and snapshots that are not saved take in memory.
    std::size_t bytes() const { return this->heldBytes; }

private:
    bool holdsHardState() const;
    static std::size_t bytesOf(const RaftOutput &output);

    std::deque<RaftOutput> queue;
    std::size_t heldBytes = 0;
};

} // namespace guavavalve
