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
        || holds<IdentifyRequest>(message);
}

bool isFromLeader(const RaftMessage &message)
{
    return holds<AppendRequest>(message) || holds<HeartbeatRequest>(message)
        || holds<SnapshotRequest>(message);
}

} // namespace

RaftCore::RaftCore(RaftCoreOptions settings, const RecoveredState &recovered, Instant start)
    : options(std::move(settings))
    , own(recovered.replica)
    , now(start)
    , hard(recovered.hardState)
    // Guards the leader's lease: a voter that restarts has forgotten when it heard the leader.
    // Without the wait it could elect another while the old leader still serves reads, which
    // would show as an answer from before an acknowledged change.
    , heardLeaderAt(start)
{
    this->history.push_back({});
    if (recovered.snapshot) {
        this->snapshot = *recovered.snapshot;
        this->log.reset(this->snapshot.index, this->snapshot.term);
        this->commit = this->snapshot.index;
        this->delivered = this->snapshot.index;
        auto list = decode<MemberList>(this->snapshot.members);
        assert(list && "the storage hands over only snapshots whose checksum holds");
        if (list)
            this->history.back() = {this->snapshot.index, std::move(list).value()};
    }
    for (const LogEntry &entry : recovered.entries) {
        if (entry.kind == EntryKind::Members) {
            if (auto list = decode<MemberList>(entry.payload))
                this->history.push_back({entry.index, std::move(list).value()});
        }
        this->log.append(entry);
    }
    this->stored = this->log.lastIndex();
    this->electionAt = this->afterElectionTimeout();
    this->freshStart = std::max<std::uint64_t>(1, this->options.random()); // 0 names none
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
    if (this->isFresh() && this->now >= this->earlyAt)
        this->askEarly();
    if (this->now < this->electionAt)
        return;
    if (this->mayStand())
        this->startPreVote();
    else
        this->electionAt = this->afterElectionTimeout();
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
    if (message.formation != this->hard.formation) {
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
    if (message.term > this->hard.term)
        this->becomeFollower(message.term, ReplicaId::None);
    if (isFromLeader(message) || holds<TimeoutNow>(message)) {
        this->fromLeader(message, token);
        return;
    }
    if (message.term < this->hard.term && !holds<VoteReply>(message))
        return; // an answer to what this replica sent in an earlier term
    if (const auto *vote = std::get_if<VoteReply>(&message.body))
        this->onVoteReply(message, *vote);
    if (const auto *append = std::get_if<AppendReply>(&message.body))
        this->onAppendReply(message, *append);
    if (const auto *heartbeat = std::get_if<HeartbeatReply>(&message.body))
        this->onHeartbeatReply(message, *heartbeat);
    if (const auto *chunk = std::get_if<SnapshotReply>(&message.body))
        this->onSnapshotReply(message, *chunk);
}

void RaftCore::fromLeader(const RaftMessage &message, std::uint64_t token)
{
    if (message.term < this->hard.term) {
        // The reply's term tells a deposed leader that it is one.
        this->reply(message, token, HeartbeatReply{});
        return;
    }
    if (holds<TimeoutNow>(message)) {
        this->reply(message, token, HeartbeatReply{});
        this->onTimeoutNow(message);
        return;
    }
    if (this->currentRole == ReplicaRole::Leader) {
        this->breakInvariant("two replicas lead in one term; stop the group and report this");
        return;
    }
    if (this->currentRole != ReplicaRole::Follower || this->currentLeader != message.from)
        this->becomeFollower(message.term, message.from);
    this->heardLeaderAt = this->now;
    this->freshStart = 0;
    this->electionAt = this->afterElectionTimeout();
    if (const auto *append = std::get_if<AppendRequest>(&message.body))
        this->onAppendRequest(message, *append, token);
    if (const auto *heartbeat = std::get_if<HeartbeatRequest>(&message.body))
        this->onHeartbeatRequest(message, *heartbeat, token);
    if (const auto *chunk = std::get_if<SnapshotRequest>(&message.body))
        this->onSnapshotRequest(message, *chunk, token);
}

void RaftCore::persisted()
{
    this->stored = this->log.lastIndex();
    if (this->currentRole == ReplicaRole::Leader)
        this->advanceCommit();
}

void RaftCore::compact(const SnapshotMeta &meta)
{
    if (meta.index <= this->snapshot.index)
        return;
    assert(meta.index <= this->delivered && "a snapshot holds only what was handed out");
    this->snapshot = meta;
    const LogIndex keep = this->options.retainedEntries;
    const LogIndex base = meta.index > keep ? meta.index - keep : 0;
    this->log.compactTo(base);
    while (this->log.bytes() > this->options.retainedBytes && this->log.baseIndex() < meta.index)
        this->log.compactTo(this->log.baseIndex() + 1);
    while (this->history.size() > 1 && this->history[1].index <= this->log.baseIndex())
        this->history.pop_front();
}

Result<LogIndex> RaftCore::propose(std::string command)
{
    if (this->currentRole != ReplicaRole::Leader)
        return failure(ErrorCode::NotLeader, "this replica does not lead its group");
    if (this->isTransferring())
        return failure(ErrorCode::Unavailable, "leadership is being handed over");
    const LogIndex index = this->log.lastIndex() + 1;
    this->appendEntry({index, this->hard.term, EntryKind::Command, std::move(command)});
    return index;
}

RaftOutput RaftCore::takeOutput()
{
    if (this->currentRole == ReplicaRole::Leader)
        this->sendEntries();
    if (this->hardChanged) {
        // Nothing may speak for a term or a vote that is not synced yet.
        this->pending.batch.hardState = this->hard;
        this->hardChanged = false;
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
    if (this->delivered >= this->commit)
        return {};
    auto entries = this->log.read(this->delivered + 1, this->commit, maxBytes);
    this->delivered = entries.back().index;
    return entries;
}

const MemberList &RaftCore::committedMembers() const
{
    return this->membersAt(this->commit);
}

const MemberList &RaftCore::membersAt(LogIndex index) const
{
    const auto after =
        std::find_if(this->history.begin() + 1, this->history.end(),
                     [&](const MembersAt &members) { return members.index > index; });
    return std::prev(after)->list;
}

bool RaftCore::isSendingSnapshot() const
{
    return std::any_of(this->progress.begin(), this->progress.end(), [&](const auto &peer) {
        return peer.second.state == Progress::State::Snapshot
            && this->now < peer.second.answeredAt + 2 * this->options.electionMax;
    });
}

ReplicaRole RaftCore::role() const
{
    const bool follows = this->currentRole == ReplicaRole::Follower;
    return follows && !this->members().isVoter(this->own) ? ReplicaRole::Learner
                                                          : this->currentRole;
}

RaftMessage RaftCore::envelope(ReplicaId to, RaftBody body) const
{
    RaftMessage message;
    message.group = this->options.group;
    message.formation = this->hard.formation;
    message.from = this->own;
    message.to = to;
    message.term = this->hard.term;
    message.body = std::move(body);
    return message;
}

void RaftCore::reply(const RaftMessage &request, std::uint64_t token, RaftBody body)
{
    OutgoingMessage outgoing;
    outgoing.message = this->envelope(request.from, std::move(body));
    outgoing.replyTo = token;
    this->pending.afterSync.push_back(std::move(outgoing));
}

void RaftCore::sendTo(const MemberRecord &member, RaftBody body, bool beforeSync,
                      std::size_t chunkBytes)
{
    OutgoingMessage outgoing;
    outgoing.message = this->envelope(member.replica, std::move(body));
    outgoing.address = member.address;
    outgoing.chunkBytes = chunkBytes;
    auto &messages = beforeSync ? this->pending.beforeSync : this->pending.afterSync;
    messages.push_back(std::move(outgoing));
}

void RaftCore::replyIdentity(const RaftMessage &request, std::uint64_t token)
{
    this->reply(request, token,
                IdentityReply{this->options.instance, this->own, this->hard.formation, 0});
}

void RaftCore::appendEntry(LogEntry entry)
{
    if (entry.kind == EntryKind::Members) {
        auto list = decode<MemberList>(entry.payload);
        if (!list) {
            this->breakInvariant("a list of members in the log cannot be decoded");
            return;
        }
        // In force from here on, committed or not (thesis, 4.1).
        this->history.push_back({entry.index, std::move(list).value()});
    }
    this->pending.batch.entries.push_back(entry);
    this->log.append(std::move(entry));
    if (this->currentRole == ReplicaRole::Leader)
        this->trackMembers();
}

void RaftCore::truncateFrom(LogIndex index)
{
    this->log.truncateFrom(index);
    this->stored = std::min(this->stored, index - 1);
    while (this->history.size() > 1 && this->history.back().index >= index)
        this->history.pop_back();
}

void RaftCore::setTerm(std::uint64_t term)
{
    if (term == this->hard.term)
        return;
    this->hard.term = term;
    this->hard.votedFor = ReplicaId::None;
    this->hardChanged = true;
}

void RaftCore::becomeFollower(std::uint64_t term, ReplicaId newLeader)
{
    this->setTerm(term);
    this->currentRole = ReplicaRole::Follower;
    this->isPreCandidate = false;
    this->currentLeader = newLeader;
    this->electionAt = this->afterElectionTimeout();
    this->votes.clear();
    this->progress.clear();
    this->noOpIndex = 0;
    this->transferTarget = ReplicaId::None;
    this->successorTold = false;
}

Instant RaftCore::afterElectionTimeout()
{
    const auto least = this->options.electionMin.count();
    const auto spread = this->options.electionMax.count() - least + 1;
    const auto extra = this->options.random() % static_cast<std::uint64_t>(spread);
    return this->now + Milliseconds(least + static_cast<std::int64_t>(extra));
}

bool RaftCore::isAddressedHere(const RaftMessage &message) const
{
    return message.group == this->options.group
        && (message.to == this->own || message.to == ReplicaId::None);
}

void RaftCore::breakInvariant(std::string message)
{
    this->pending.fault = failure(ErrorCode::Internal, std::move(message));
}

} // namespace guavavalve
