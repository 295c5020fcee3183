#include "replicas/raftcore.h"

#include "core/codec.h"
#include "journal/checksum.h"

#include <algorithm>
#include <utility>

// What a follower does with its leader's entries and snapshots.

namespace guavavalve {

void RaftCore::onAppendRequest(const RaftMessage &message, const AppendRequest &request,
                               std::uint64_t token)
{
    AppendReply answer;
    answer.previousIndex = request.previousIndex;
    answer.sentAt = request.sentAt;
    const auto previousTerm = this->log.termAt(request.previousIndex);
    // Before the base everything is committed, and so agrees with any leader's log.
    const bool agrees = request.previousIndex < this->log.baseIndex()
        || (previousTerm && *previousTerm == request.previousTerm);
    if (!agrees) {
        answer.nextIndex = this->retryIndex(request.previousIndex);
        this->reply(message, token, answer);
        return;
    }
    LogIndex expected = request.previousIndex;
    for (const LogEntry &entry : request.entries) {
        if (entry.index != ++expected)
            return; // not what a leader sends: drop it
        if (entry.index <= this->log.baseIndex())
            continue;
        const auto term = this->log.termAt(entry.index);
        if (term && *term == entry.term)
            continue;
        if (entry.index <= this->commit) {
            this->breakInvariant("a leader's log disagrees with a committed entry");
            return;
        }
        if (term)
            this->truncateFrom(entry.index);
        this->appendEntry(entry);
    }
    answer.accepted = true;
    answer.matchIndex = expected;
    this->advanceFollowerCommit(std::min(request.committed, expected));
    this->reply(message, token, answer);
}

/// Skips a whole term at a time when logs disagree (2014 paper, end of 5.3).
LogIndex RaftCore::retryIndex(LogIndex previous) const
{
    if (previous > this->log.lastIndex())
        return this->log.lastIndex() + 1;
    const auto term = this->log.termAt(previous);
    LogIndex index = previous;
    while (index > this->commit + 1 && this->log.termAt(index - 1) == term)
        --index;
    return index;
}

void RaftCore::advanceFollowerCommit(LogIndex index)
{
    this->commit = std::max(this->commit, std::min(index, this->log.lastIndex()));
}

void RaftCore::onHeartbeatRequest(const RaftMessage &message, const HeartbeatRequest &request,
                                  std::uint64_t token)
{
    this->advanceFollowerCommit(request.committed);
    this->reply(message, token, HeartbeatReply{request.sentAt});
}

void RaftCore::onSnapshotRequest(const RaftMessage &message, const SnapshotRequest &request,
                                 std::uint64_t token)
{
    SnapshotReply answer;
    answer.index = request.meta.index;
    answer.checksum = request.meta.checksum;
    answer.sentAt = request.sentAt;
    if (request.meta.index <= this->commit) {
        answer.installed = true;
    } else if (this->receivePiece(request)) {
        this->installSnapshot();
        answer.installed = this->commit >= request.meta.index;
    }
    answer.nextOffset = this->incoming.size();
    this->reply(message, token, answer);
}

/// True once the snapshot is whole. A piece that does not continue what is here changes nothing;
/// the reply's offset tells the leader where to go on, also a new leader with the same bytes.
bool RaftCore::receivePiece(const SnapshotRequest &request)
{
    if (!this->incomingMeta.sameBytes(request.meta)) {
        this->incomingMeta = request.meta;
        this->incoming.clear();
    }
    const bool fits = request.meta.size <= this->options.maxSnapshotBytes
        && request.chunk.size() <= request.meta.size - this->incoming.size();
    if (request.offset != this->incoming.size() || !fits)
        return false;
    this->incoming += request.chunk;
    if (this->incoming.size() < request.meta.size)
        return false;
    if (checksumOf(this->incoming) == request.meta.checksum)
        return true;
    this->incoming.clear(); // damaged on its way: from the start
    return false;
}

void RaftCore::installSnapshot()
{
    const SnapshotMeta meta = std::exchange(this->incomingMeta, {});
    std::string state = std::exchange(this->incoming, {});
    auto list = decode<MemberList>(meta.members);
    if (!list)
        return;
    if (this->log.termAt(meta.index) == meta.term) {
        // The entries up to it are all here: nothing to replace, they are only committed now.
        this->advanceFollowerCommit(meta.index);
        return;
    }
    this->log.reset(meta.index, meta.term);
    this->history.assign(1, {meta.index, std::move(list).value()});
    this->commit = meta.index;
    this->delivered = meta.index;
    this->stored = meta.index;
    this->snapshot = meta;
    this->pending.batch.entries.clear();
    this->pending.batch.resetTo = meta.index;
    this->pending.snapshot = InstalledSnapshot{meta, std::move(state)};
}

} // namespace guavavalve
