#include "replicas/raftcore.h"

#include "core/codec.h"
#include "journal/checksum.h"

#include <algorithm>
#include <utility>

// Handling of entries, heartbeats and snapshots from the leader.

namespace guavavalve {

void RaftCore::onAppendRequest(const RaftMessage &message, const AppendRequest &request,
                               std::uint64_t token)
{
    AppendReply answer;
    answer.previousIndex = request.previousIndex;
    answer.sentAt = request.sentAt;
    const auto previousTerm = this->log.termAt(request.previousIndex);
    // Entries before the base are committed and therefore match any leader's log.
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
            return; // not contiguous: no leader sends this, so the message is dropped
        if (entry.index <= this->log.baseIndex())
            continue;
        const auto term = this->log.termAt(entry.index);
        if (term && *term == entry.term)
            continue;
        if (entry.index <= this->commitIndex) {
            this->reportInvariantViolation("the leader's log conflicts with a committed entry");
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

/// Skips a whole term at a time when the logs conflict (2014 paper, end of 5.3).
LogIndex RaftCore::retryIndex(LogIndex previous) const
{
    if (previous > this->log.lastIndex())
        return this->log.lastIndex() + 1;
    const auto term = this->log.termAt(previous);
    LogIndex index = previous;
    while (index > this->commitIndex + 1 && this->log.termAt(index - 1) == term)
        --index;
    return index;
}

void RaftCore::advanceFollowerCommit(LogIndex index)
{
    this->commitIndex = std::max(this->commitIndex, std::min(index, this->log.lastIndex()));
}

void RaftCore::onHeartbeatRequest(const RaftMessage &message, const HeartbeatRequest &request,
                                  std::uint64_t token)
{
    this->advanceFollowerCommit(request.committed);
    this->reply(message, token, HeartbeatReply{request.sentAt});
}

void RaftCore::onSilentMembers(const RaftMessage &message, const SilentMembers &silent,
                               std::uint64_t token)
{
    this->silentUnderLeader.clear();
    for (const auto &[replica, silentForUs] : silent.silentForUs) {
        const bool isPossible =
            silentForUs >= 0 && silentForUs <= this->now.time_since_epoch().count();
        if (isPossible && this->members().isVoter(replica))
            this->silentUnderLeader[replica] = this->now - Microseconds(silentForUs);
    }
    this->silentReportedAt = this->now;
    this->reply(message, token, HeartbeatReply{});
}

void RaftCore::onSnapshotRequest(const RaftMessage &message, const SnapshotRequest &request,
                                 std::uint64_t token)
{
    SnapshotReply answer;
    answer.index = request.meta.index;
    answer.checksum = request.meta.checksum;
    answer.sentAt = request.sentAt;
    if (request.meta.index <= this->commitIndex) {
        answer.installed = true;
    } else if (this->receiveChunk(request)) {
        this->installSnapshot();
        answer.installed = this->commitIndex >= request.meta.index;
    }
    answer.nextOffset = this->incomingState.size();
    this->reply(message, token, answer);
}

/// Returns true once the snapshot is complete. A chunk that does not continue the received bytes is
/// ignored; the offset in the reply tells the leader where to resume. A new leader that sends the
/// same bytes resumes there as well.
bool RaftCore::receiveChunk(const SnapshotRequest &request)
{
    if (!this->incomingMeta.sameBytes(request.meta)) {
        this->incomingMeta = request.meta;
        this->incomingState.clear();
    }
    const bool fits = request.meta.size <= this->options.maxSnapshotBytes
        && request.chunk.size() <= request.meta.size - this->incomingState.size();
    if (request.offset != this->incomingState.size() || !fits)
        return false;
    this->incomingState += request.chunk;
    if (this->incomingState.size() < request.meta.size)
        return false;
    if (checksumOf(this->incomingState) == request.meta.checksum)
        return true;
    this->incomingState.clear(); // corrupted in transit: restart the transfer
    return false;
}

void RaftCore::installSnapshot()
{
    const SnapshotMeta meta = std::exchange(this->incomingMeta, {});
    std::string state = std::exchange(this->incomingState, {});
    auto list = decode<MemberList>(meta.members);
    if (!list)
        return;
    if (this->log.termAt(meta.index) == meta.term) {
        // All entries that the snapshot covers are in the log: they only become committed.
        this->advanceFollowerCommit(meta.index);
        return;
    }
    this->log.reset(meta.index, meta.term);
    this->memberHistory.assign(1, {meta.index, std::move(list).value()});
    this->commitIndex = meta.index;
    this->deliveredIndex = meta.index;
    this->syncedIndex = meta.index;
    this->snapshot = meta;
    this->pending.batch.entries.clear();
    this->pending.batch.resetTo = meta.index;
    this->pending.snapshot = InstalledSnapshot{meta, std::move(state)};
}

} // namespace guavavalve
