#include "replicas/raftcore.h"

#include "core/codec.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace guavavalve {

namespace {

template<typename Body>
bool holds(const RaftMessage &message)
{
    return std::holds_alternative<Body>(message.body);
}

bool isRequest(const RaftMessage &message)
{
    return holds<VoteRequest>(message) || holds<AppendRequest>(message)
        || holds<HeartbeatRequest>(message) || holds<SnapshotRequest>(message)
        || holds<TimeoutNow>(message) || holds<FormRequest>(message)
        || holds<IdentifyRequest>(message) || holds<SilentMembers>(message);
}

bool isFromLeader(const RaftMessage &message)
{
    return holds<AppendRequest>(message) || holds<HeartbeatRequest>(message)
        || holds<SnapshotRequest>(message) || holds<SilentMembers>(message);
}

} // namespace

RaftCore::RaftCore(RaftCoreOptions settings, const RecoveredState &recovered, Instant start)
    : options(std::move(settings))
    , selfId(recovered.replica)
    , now(start)
    , hardState(recovered.hardState)
    // Counts the start as contact with the leader, to protect the leader's lease: a voter that
    // restarts has forgotten when it last heard from the leader. Without this wait it could help to
    // elect another one while the old leader still serves reads from its lease, and a client could
    // read a state that lacks an acknowledged change.
    , lastLeaderContact(start)
{
    this->memberHistory.push_back({});
    if (recovered.snapshot) {
        this->snapshot = *recovered.snapshot;
        this->log.reset(this->snapshot.index, this->snapshot.term);
        this->commitIndex = this->snapshot.index;
        this->deliveredIndex = this->snapshot.index;
        auto list = decode<MemberList>(this->snapshot.members);
        assert(list && "the storage returns only snapshots whose checksum matches");
        if (list)
            this->memberHistory.back() = {this->snapshot.index, std::move(list).value()};
    }
    for (const LogEntry &entry : recovered.entries) {
        if (entry.kind == EntryKind::Members) {
            if (auto list = decode<MemberList>(entry.payload))
                this->memberHistory.push_back({entry.index, std::move(list).value()});
        }
        this->log.append(entry);
    }
    this->syncedIndex = this->log.lastIndex();
    this->electionAt = this->randomElectionDeadline();
    this->startupId = std::max<std::uint64_t>(1, this->options.random()); // 0 means none
}

void RaftCore::tick(Instant time)
{
    this->now = std::max(this->now, time);
    if (!this->isFormed())
        return;
    if (this->currentRole == ReplicaRole::Leader) {
        this->leaderTick();
        return;
    }
    if (this->awaitsFirstLeader() && this->now >= this->startupPreVoteAt)
        this->requestStartupPreVotes();
    if (this->now < this->electionAt)
        return;
    if (this->canCampaign())
        this->startPreVote();
    else
        this->electionAt = this->randomElectionDeadline();
}

void RaftCore::receive(RaftMessage message, std::uint64_t token, Instant time)
{
    this->now = std::max(this->now, time);
    if (!this->isAddressedHere(message) || holds<IdentifyRequest>(message)) {
        if (isRequest(message))
            this->replyIdentity(message, token);
        return;
    }
    if (const auto *answer = std::get_if<IdentityReply>(&message.body)) {
        this->onIdentityReply(message, *answer);
        return;
    }
    if (const auto *request = std::get_if<FormRequest>(&message.body)) {
        this->onFormRequest(message, *request, token);
        return;
    }
    if (message.formation != this->hardState.formation) {
        const bool joins =
            !this->isFormed() && (holds<AppendRequest>(message) || holds<SnapshotRequest>(message));
        if (!joins) {
            if (isRequest(message))
                this->replyIdentity(message, token);
            return;
        }
        this->adoptFormation(message.formation);
    }
    this->dispatch(message, token);
}

void RaftCore::dispatch(const RaftMessage &message, std::uint64_t token)
{
    if (const auto *request = std::get_if<VoteRequest>(&message.body)) {
        this->onVoteRequest(message, *request, token);
        return;
    }
    if (message.term > this->hardState.term)
        this->becomeFollower(message.term, ReplicaId::None);
    if (isFromLeader(message) || holds<TimeoutNow>(message)) {
        this->handleLeaderMessage(message, token);
        return;
    }
    if (message.term < this->hardState.term && !holds<VoteReply>(message))
        return; // a reply to a request of an earlier term
    if (const auto *vote = std::get_if<VoteReply>(&message.body))
        this->onVoteReply(message, *vote);
    if (const auto *append = std::get_if<AppendReply>(&message.body))
        this->onAppendReply(message, *append);
    if (const auto *heartbeat = std::get_if<HeartbeatReply>(&message.body))
        this->onHeartbeatReply(message, *heartbeat);
    if (const auto *chunk = std::get_if<SnapshotReply>(&message.body))
        this->onSnapshotReply(message, *chunk);
}

void RaftCore::handleLeaderMessage(const RaftMessage &message, std::uint64_t token)
{
    if (message.term < this->hardState.term) {
        // The term in the reply makes a deposed leader step down.
        this->reply(message, token, HeartbeatReply{});
        return;
    }
    if (holds<TimeoutNow>(message)) {
        this->reply(message, token, HeartbeatReply{});
        this->onTimeoutNow(message);
        return;
    }
    if (this->currentRole == ReplicaRole::Leader) {
        this->reportInvariantViolation(
            "two replicas are leaders in the same term; stop the group and report this");
        return;
    }
    if (this->currentRole != ReplicaRole::Follower || this->currentLeader != message.from)
        this->becomeFollower(message.term, message.from);
    this->lastLeaderContact = this->now;
    this->lastLeader = message.from;
    this->startupId = 0;
    this->electionAt = this->randomElectionDeadline();
    if (const auto *append = std::get_if<AppendRequest>(&message.body))
        this->onAppendRequest(message, *append, token);
    if (const auto *heartbeat = std::get_if<HeartbeatRequest>(&message.body))
        this->onHeartbeatRequest(message, *heartbeat, token);
    if (const auto *chunk = std::get_if<SnapshotRequest>(&message.body))
        this->onSnapshotRequest(message, *chunk, token);
    if (const auto *silent = std::get_if<SilentMembers>(&message.body))
        this->onSilentMembers(message, *silent, token);
}

void RaftCore::persisted()
{
    this->syncedIndex = this->log.lastIndex();
    if (this->currentRole == ReplicaRole::Leader)
        this->advanceCommit();
}

void RaftCore::compact(const SnapshotMeta &meta)
{
    if (meta.index <= this->snapshot.index)
        return;
    assert(meta.index <= this->deliveredIndex && "a snapshot covers only delivered entries");
    this->snapshot = meta;
    const LogIndex keep = this->options.retainedEntries;
    const LogIndex base = meta.index > keep ? meta.index - keep : 0;
    this->log.compactTo(base);
    while (this->log.bytes() > this->options.retainedBytes && this->log.baseIndex() < meta.index)
        this->log.compactTo(this->log.baseIndex() + 1);
    while (this->memberHistory.size() > 1 && this->memberHistory[1].index <= this->log.baseIndex())
        this->memberHistory.pop_front();
}

Result<LogIndex> RaftCore::propose(std::string command)
{
    if (this->currentRole != ReplicaRole::Leader)
        return failure(ErrorCode::NotLeader, "this replica is not the leader of its group");
    if (this->isTransferring())
        return failure(ErrorCode::Unavailable, "leadership is being transferred");
    const LogIndex index = this->log.lastIndex() + 1;
    this->appendEntry({index, this->hardState.term, EntryKind::Command, std::move(command)});
    return index;
}

RaftOutput RaftCore::takeOutput()
{
    if (this->currentRole == ReplicaRole::Leader)
        this->sendEntries();
    if (this->hardStateChanged) {
        // No message may rely on a term or a vote that has not been synced yet.
        this->pending.batch.hardState = this->hardState;
        this->hardStateChanged = false;
        auto &before = this->pending.beforeSync;
        auto &after = this->pending.afterSync;
        after.insert(after.end(), std::make_move_iterator(before.begin()),
                     std::make_move_iterator(before.end()));
        before.clear();
    }
    return std::exchange(this->pending, {});
}

std::vector<LogEntry> RaftCore::takeCommitted(std::size_t maxBytes)
{
    if (this->deliveredIndex >= this->commitIndex)
        return {};
    auto entries = this->log.read(this->deliveredIndex + 1, this->commitIndex, maxBytes);
    this->deliveredIndex = entries.back().index;
    return entries;
}

const MemberList &RaftCore::committedMembers() const
{
    return this->membersAt(this->commitIndex);
}

const MemberList &RaftCore::membersAt(LogIndex index) const
{
    const auto after =
        std::find_if(this->memberHistory.begin() + 1, this->memberHistory.end(),
                     [&](const MembersAt &members) { return members.index > index; });
    return std::prev(after)->list;
}

bool RaftCore::isSendingSnapshot() const
{
    return std::any_of(this->progress.begin(), this->progress.end(), [&](const auto &peer) {
        return peer.second.state == Progress::State::Snapshot
            && this->now < peer.second.lastReplyAt + 2 * this->options.electionMax;
    });
}

ReplicaRole RaftCore::role() const
{
    const bool follows = this->currentRole == ReplicaRole::Follower;
    return follows && !this->members().isVoter(this->selfId) ? ReplicaRole::Learner
                                                             : this->currentRole;
}

RaftMessage RaftCore::makeMessage(ReplicaId to, RaftBody body) const
{
    RaftMessage message;
    message.group = this->options.group;
    message.formation = this->hardState.formation;
    message.from = this->selfId;
    message.to = to;
    message.term = this->hardState.term;
    message.body = std::move(body);
    return message;
}

void RaftCore::reply(const RaftMessage &request, std::uint64_t token, RaftBody body)
{
    OutgoingMessage outgoing;
    outgoing.message = this->makeMessage(request.from, std::move(body));
    outgoing.replyTo = token;
    this->pending.afterSync.push_back(std::move(outgoing));
}

void RaftCore::sendTo(const MemberRecord &member, RaftBody body, bool beforeSync,
                      std::size_t chunkBytes)
{
    OutgoingMessage outgoing;
    outgoing.message = this->makeMessage(member.replica, std::move(body));
    outgoing.address = member.address;
    outgoing.chunkBytes = chunkBytes;
    auto &messages = beforeSync ? this->pending.beforeSync : this->pending.afterSync;
    messages.push_back(std::move(outgoing));
}

void RaftCore::replyIdentity(const RaftMessage &request, std::uint64_t token)
{
    this->reply(request, token,
                IdentityReply{this->options.instance, this->selfId, this->hardState.formation, 0});
}

void RaftCore::appendEntry(LogEntry entry)
{
    if (entry.kind == EntryKind::Members) {
        auto list = decode<MemberList>(entry.payload);
        if (!list) {
            this->reportInvariantViolation("a member list in the log cannot be decoded");
            return;
        }
        // Takes effect at once, whether committed or not (thesis, 4.1).
        this->memberHistory.push_back({entry.index, std::move(list).value()});
    }
    this->pending.batch.entries.push_back(entry);
    this->log.append(std::move(entry));
    if (this->currentRole == ReplicaRole::Leader)
        this->trackMembers();
}

void RaftCore::truncateFrom(LogIndex index)
{
    this->log.truncateFrom(index);
    this->syncedIndex = std::min(this->syncedIndex, index - 1);
    while (this->memberHistory.size() > 1 && this->memberHistory.back().index >= index)
        this->memberHistory.pop_back();
}

void RaftCore::setTerm(std::uint64_t term)
{
    if (term == this->hardState.term)
        return;
    this->hardState.term = term;
    this->hardState.votedFor = ReplicaId::None;
    this->hardStateChanged = true;
}

void RaftCore::becomeFollower(std::uint64_t term, ReplicaId newLeader)
{
    if (this->currentRole == ReplicaRole::Leader) {
        this->silentUnderLeader = this->silentVoters();
        this->silentReportedAt = this->now;
        this->lastLeader = ReplicaId::None;
    }
    this->setTerm(term);
    this->currentRole = ReplicaRole::Follower;
    this->isPreCandidate = false;
    this->currentLeader = newLeader;
    this->electionAt = this->randomElectionDeadline();
    this->votes.clear();
    this->progress.clear();
    this->noOpIndex = 0;
    this->transferTarget = ReplicaId::None;
    this->timeoutNowSent = false;
}

Instant RaftCore::randomElectionDeadline()
{
    const auto least = this->options.electionMin.count();
    const auto spread = this->options.electionMax.count() - least + 1;
    const auto extra = this->options.random() % static_cast<std::uint64_t>(spread);
    return this->now + Milliseconds(least + static_cast<std::int64_t>(extra));
}

bool RaftCore::isAddressedHere(const RaftMessage &message) const
{
    return message.group == this->options.group
        && (message.to == this->selfId || message.to == ReplicaId::None);
}

void RaftCore::reportInvariantViolation(std::string message)
{
    this->pending.fault = failure(ErrorCode::Internal, std::move(message));
}

} // namespace guavavalve
