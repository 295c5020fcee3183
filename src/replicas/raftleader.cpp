#include "replicas/raftcore.h"

#include <algorithm>
#include <utility>

// Replication, commit, lease and leadership transfer on the leader.

namespace guavavalve {

namespace {

/// Length of the lease as a percentage of the followers' minimum election timeout. The margin
/// covers clock drift between replicas.
constexpr int leasePercent = 90;

} // namespace

void RaftCore::leaderTick()
{
    // A partitioned leader would otherwise keep answering from a state that the other replicas have
    // moved on from. It steps down once no quorum has replied for an election timeout; its lease
    // has expired before that.
    const Instant contact = std::max(this->quorumContactTime(), this->leadsSince);
    if (this->now > contact + this->options.electionMax) {
        this->becomeFollower(this->hardState.term, ReplicaId::None);
        return;
    }
    if (this->now >= this->heartbeatAt) {
        this->heartbeatAt = this->now + this->options.heartbeat;
        this->sendHeartbeats();
        this->reportSilentMembers();
    }
    this->changeMembersOnTick();
    this->finishTransfer();
}

void RaftCore::sendHeartbeats()
{
    for (const MemberRecord &member : this->members().members) {
        const auto peer = this->progress.find(member.replica);
        if (peer == this->progress.end())
            continue;
        HeartbeatRequest request;
        request.committed = std::min(this->commitIndex, peer->second.match);
        request.sentAt = this->now.time_since_epoch().count();
        this->sendTo(member, request, true);
    }
}

std::map<ReplicaId, Instant> RaftCore::silentVoters() const
{
    std::map<ReplicaId, Instant> silent;
    for (const auto &[replica, peer] : this->progress) {
        const bool isSilent = this->now >= peer.silentSince + this->options.electionMin;
        if (isSilent && this->members().isVoter(replica))
            silent[replica] = peer.silentSince;
    }
    return silent;
}

void RaftCore::reportSilentMembers()
{
    SilentMembers silent;
    for (const auto &[replica, since] : this->silentVoters())
        silent.silentForUs.emplace_back(replica, (this->now - since).count());
    if (silent.silentForUs.empty())
        return;
    for (const MemberRecord &member : this->members().members) {
        if (member.voter && member.replica != this->selfId)
            this->sendTo(member, silent, true);
    }
}

void RaftCore::sendEntries()
{
    for (const MemberRecord &member : this->members().members) {
        const auto peer = this->progress.find(member.replica);
        if (peer != this->progress.end())
            this->sendEntriesTo(member, peer->second);
    }
}

void RaftCore::sendEntriesTo(const MemberRecord &member, Progress &peer)
{
    const bool awaitsReply = peer.awaitingReply || !peer.inFlight.empty();
    if (awaitsReply && this->now >= peer.replyDeadline) {
        peer.clearInFlight();
        if (peer.state == Progress::State::Replicate)
            peer.state = Progress::State::Probe;
        if (peer.state == Progress::State::Probe)
            peer.next = peer.match + 1;
    }
    if (this->now < peer.pausedUntil)
        return;
    if (peer.state != Progress::State::Snapshot && peer.next <= this->log.baseIndex())
        this->startSnapshot(peer);
    switch (peer.state) {
    case Progress::State::Snapshot:
        if (!peer.awaitingReply)
            this->sendChunk(member, peer);
        break;
    case Progress::State::Probe:
        if (!peer.awaitingReply)
            peer.awaitingReply = this->sendBatch(member, peer);
        break;
    case Progress::State::Replicate:
        while (peer.next <= this->log.lastIndex()
               && peer.inFlightBytes < this->options.maxInFlightBytes) {
            this->sendBatch(member, peer);
        }
        break;
    }
}

bool RaftCore::sendBatch(const MemberRecord &member, Progress &peer)
{
    AppendRequest request;
    request.previousIndex = peer.next - 1;
    request.previousTerm = this->log.termAt(request.previousIndex).value_or(0);
    request.committed = this->commitIndex;
    request.sentAt = this->now.time_since_epoch().count();
    request.entries = this->log.read(peer.next, this->log.lastIndex(), this->options.maxBatchBytes);
    if (peer.inFlight.empty())
        peer.replyDeadline = this->now + 2 * this->options.electionMax;
    if (peer.state == Progress::State::Replicate) {
        std::size_t bytes = 0;
        for (const LogEntry &entry : request.entries)
            bytes += entryBytes(entry);
        peer.next = request.entries.back().index + 1;
        peer.inFlight.push_back({request.entries.back().index, bytes});
        peer.inFlightBytes += bytes;
    }
    this->sendTo(member, std::move(request), true);
    return true;
}

void RaftCore::startSnapshot(Progress &peer)
{
    peer.clearInFlight();
    peer.state = Progress::State::Snapshot;
    peer.snapshot = this->snapshot;
    peer.snapshotOffset = 0;
}

void RaftCore::sendChunk(const MemberRecord &member, Progress &peer)
{
    if (!peer.snapshot.sameBytes(this->snapshot))
        this->startSnapshot(peer); // the file of the previous snapshot has been deleted
    SnapshotRequest request;
    request.meta = peer.snapshot;
    request.offset = peer.snapshotOffset;
    request.sentAt = this->now.time_since_epoch().count();
    const std::uint64_t left = peer.snapshot.size - peer.snapshotOffset;
    const auto bytes = std::min<std::uint64_t>(left, this->options.snapshotChunkBytes);
    peer.awaitingReply = true;
    peer.replyDeadline = this->now + 2 * this->options.electionMax;
    this->sendTo(member, std::move(request), true, static_cast<std::size_t>(bytes));
}

void RaftCore::unreachable(ReplicaId replica, Instant time)
{
    this->now = std::max(this->now, time);
    const auto found = this->progress.find(replica);
    if (found == this->progress.end())
        return;
    Progress &peer = found->second;
    peer.clearInFlight();
    peer.pausedUntil = this->now + this->options.heartbeat;
    if (peer.state == Progress::State::Snapshot)
        return; // resumes at the same offset
    peer.state = Progress::State::Probe;
    peer.next = peer.match + 1;
}

Progress *RaftCore::recordReply(const RaftMessage &message, std::int64_t sentAt)
{
    const auto found = this->progress.find(message.from);
    if (this->currentRole != ReplicaRole::Leader || found == this->progress.end())
        return nullptr;
    Progress &peer = found->second;
    const Instant sent{Microseconds(sentAt)};
    peer.lastReplyAt = this->now;
    peer.silentSince = this->now;
    peer.replacement = ReplicaId::None;
    if (sent <= this->now)
        peer.lastAckedSendTime = std::max(peer.lastAckedSendTime, sent);
    return &peer;
}

void RaftCore::onHeartbeatReply(const RaftMessage &message, const HeartbeatReply &answer)
{
    this->recordReply(message, answer.sentAt);
}

void RaftCore::onAppendReply(const RaftMessage &message, const AppendReply &answer)
{
    Progress *peer = this->recordReply(message, answer.sentAt);
    if (peer == nullptr || answer.matchIndex > this->log.lastIndex())
        return;
    if (!answer.accepted) {
        const bool isStale = answer.previousIndex <= peer->match
            || peer->state == Progress::State::Snapshot
            || (peer->state == Progress::State::Probe && answer.previousIndex != peer->next - 1);
        if (isStale)
            return;
        peer->clearInFlight();
        peer->state = Progress::State::Probe;
        peer->next = std::max(peer->match + 1, std::min(answer.nextIndex, answer.previousIndex));
        return;
    }
    peer->match = std::max(peer->match, answer.matchIndex);
    peer->replyDeadline = this->now + 2 * this->options.electionMax;
    while (!peer->inFlight.empty() && peer->inFlight.front().last <= peer->match) {
        peer->inFlightBytes -= peer->inFlight.front().bytes;
        peer->inFlight.pop_front();
    }
    if (peer->state == Progress::State::Probe) {
        peer->clearInFlight();
        peer->state = Progress::State::Replicate;
        peer->next = peer->match + 1;
    }
    peer->next = std::max(peer->next, peer->match + 1);
    this->advanceCommit();
}

void RaftCore::onSnapshotReply(const RaftMessage &message, const SnapshotReply &answer)
{
    Progress *peer = this->recordReply(message, answer.sentAt);
    const bool isAwaited = peer != nullptr && peer->state == Progress::State::Snapshot
        && peer->snapshot.index == answer.index && peer->snapshot.checksum == answer.checksum;
    if (!isAwaited)
        return;
    peer->awaitingReply = false;
    if (!answer.installed) {
        peer->snapshotOffset = std::min(answer.nextOffset, peer->snapshot.size);
        return;
    }
    peer->match = std::max(peer->match, answer.index);
    peer->next = peer->match + 1;
    peer->state = Progress::State::Probe;
    this->advanceCommit();
}

/// The highest index that at least \a count members, or voters, have synced.
LogIndex RaftCore::syncedBy(std::size_t count, bool votersOnly) const
{
    std::vector<LogIndex> matches;
    for (const MemberRecord &member : this->members().members) {
        if (votersOnly && !member.voter)
            continue;
        const auto peer = this->progress.find(member.replica);
        const bool isSelf = member.replica == this->selfId;
        matches.push_back(isSelf                             ? this->syncedIndex
                              : peer == this->progress.end() ? 0
                                                             : peer->second.match);
    }
    std::sort(matches.rbegin(), matches.rend());
    return matches.size() < count ? 0 : matches[count - 1];
}

/// Guards against an acknowledged entry that is lost with fewer disks than the group is to
/// tolerate: a majority of the first few voters is fewer than RaftCoreOptions::minCopies.
void RaftCore::advanceCommit()
{
    const LogIndex atQuorum = this->syncedBy(this->members().quorum(), true);
    if (this->log.termAt(atQuorum) == this->hardState.term)
        this->quorumIndex = std::max(this->quorumIndex, atQuorum);
    const std::size_t copies =
        std::clamp<std::size_t>(this->options.minCopies, 1, this->members().members.size());
    const LogIndex index = std::min(this->quorumIndex, this->syncedBy(copies, false));
    if (this->log.termAt(index) == this->hardState.term)
        this->commitIndex = std::max(this->commitIndex, index);
    const bool isRemoved = this->memberHistory.back().index <= this->quorumIndex
        && !this->members().isVoter(this->selfId);
    if (isRemoved)
        this->becomeFollower(this->hardState.term, ReplicaId::None);
}

/// The latest instant such that a quorum, including this replica, has replied to a message sent at
/// or after it.
Instant RaftCore::quorumContactTime() const
{
    std::vector<Instant> instants;
    for (const MemberRecord &member : this->members().members) {
        if (!member.voter)
            continue;
        const auto peer = this->progress.find(member.replica);
        const bool isSelf = member.replica == this->selfId;
        instants.push_back(isSelf                             ? this->now
                               : peer == this->progress.end() ? Instant{}
                                                              : peer->second.lastAckedSendTime);
    }
    std::sort(instants.rbegin(), instants.rend());
    return instants.empty() ? Instant{} : instants[this->members().quorum() - 1];
}

Instant RaftCore::leaseUntil() const
{
    const bool leads =
        this->currentRole == ReplicaRole::Leader && this->commitIndex >= this->noOpIndex;
    // After TimeoutNow the successor's vote requests bypass the voters' wait and may arrive late,
    // so no lease can be relied on for the rest of this term.
    if (!leads || this->timeoutNowSent)
        return Instant{};
    const Instant from = this->quorumContactTime();
    return from == Instant{} ? from : from + this->options.electionMin * leasePercent / 100;
}

Result<void> RaftCore::transferLeadership(Instant time)
{
    this->now = std::max(this->now, time);
    if (this->currentRole != ReplicaRole::Leader)
        return failure(ErrorCode::NotLeader, "this replica is not the leader of its group");
    if (this->isTransferring())
        return failure(ErrorCode::Unavailable, "leadership is already being transferred");
    LogIndex best = 0;
    ReplicaId target = ReplicaId::None;
    for (const auto &[replica, peer] : this->progress) {
        const bool answers = this->now <= peer.lastReplyAt + this->options.electionMin;
        if (this->members().isVoter(replica) && answers && peer.match > best) {
            best = peer.match;
            target = replica;
        }
    }
    if (target == ReplicaId::None)
        return failure(ErrorCode::Unavailable, "no other voter is currently responding");
    this->transferTarget = target;
    this->transferUntil = this->now + 2 * this->options.electionMax;
    this->finishTransfer();
    return boost::outcome_v2::success();
}

void RaftCore::finishTransfer()
{
    if (!this->isTransferring())
        return;
    if (this->now >= this->transferUntil) {
        if (this->timeoutNowSent)
            this->becomeFollower(this->hardState.term, ReplicaId::None);
        else
            this->transferTarget = ReplicaId::None;
        return;
    }
    const auto peer = this->progress.find(this->transferTarget);
    const MemberRecord *member = this->members().find(this->transferTarget);
    if (peer == this->progress.end() || member == nullptr) {
        this->transferTarget = ReplicaId::None;
        return;
    }
    if (peer->second.match < this->log.lastIndex() || this->timeoutNowSent)
        return;
    this->timeoutNowSent = true;
    this->sendTo(*member, TimeoutNow{}, true);
}

} // namespace guavavalve
