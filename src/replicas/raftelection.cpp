#include "replicas/raftcore.h"

#include "core/codec.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

// Elections and the initial formation of the group.

namespace guavavalve {

namespace {

constexpr LogIndex firstIndex = 1;
constexpr std::uint64_t firstTerm = 1;

} // namespace

/// A voter whose removal is not known to be committed may still be needed: if it has the longest
/// log, no other replica can win an election (thesis, 4.2.2). It does not count its own vote in
/// that case.
bool RaftCore::canCampaign() const
{
    if (this->members().isVoter(this->selfId))
        return true;
    const std::size_t lists = this->memberHistory.size();
    return lists > 1 && this->memberHistory.back().index > this->commitIndex
        && this->memberHistory[lists - 2].list.isVoter(this->selfId);
}

/// Asks the voters whether an election could be won, without increasing any term (thesis, 9.6).
///
/// A replica that has been partitioned for a long time would otherwise increase its term with every
/// failed election and, on its return, depose a healthy leader. With pre-vote its term does not
/// change, and the other voters refuse while they hear from their leader.
void RaftCore::startPreVote()
{
    this->currentRole = ReplicaRole::Candidate;
    this->isPreCandidate = true;
    this->currentLeader = ReplicaId::None;
    this->electionAt = this->randomElectionDeadline();
    this->votes = {this->selfId};
    this->countVotes(true);
    if (this->isPreCandidate)
        this->requestVotes(true, false);
}

/// Whether this replica has not heard from a leader since it started.
bool RaftCore::awaitsFirstLeader() const
{
    return this->startupId != 0 && this->currentRole != ReplicaRole::Leader;
}

/// Asks all voters, in a startup pre-vote, whether they too have heard from no leader since they
/// started.
///
/// Avoids a full election timeout without a leader after all replicas have been restarted, which
/// clients saw as 0.5 to 1 s of additional unavailability. A voter waits after a start, since it
/// may have promised a leader not to vote for another one. If every voter reports that it neither
/// leads nor has heard from a leader since it started, no such promise can matter and an election
/// is held at once. Each voter grants this only to a replica that is ordered after itself, by the
/// last term and index of the log and then by replica ID, so that at most one replica is granted it
/// by all.
void RaftCore::requestStartupPreVotes()
{
    this->startupPreVoteAt = this->now + this->options.heartbeat;
    if (!this->members().isVoter(this->selfId))
        return;
    this->startupGrants.clear();
    this->startupGrants[this->selfId] = this->startupId;
    VoteRequest request;
    request.preVote = true;
    request.isStartupPreVote = true;
    request.forTerm = this->hardState.term + 1;
    request.lastIndex = this->log.lastIndex();
    request.lastTerm = this->log.lastTerm();
    for (const MemberRecord &member : this->members().members) {
        if (member.voter && member.replica != this->selfId)
            this->sendTo(member, request, false);
    }
}

VoteReply RaftCore::startupPreVoteReply(const RaftMessage &message,
                                        const VoteRequest &request) const
{
    VoteReply answer;
    answer.preVote = true;
    answer.forTerm = request.forTerm;
    const auto theirs = std::make_tuple(request.lastTerm, request.lastIndex, message.from);
    const auto ours = std::make_tuple(this->log.lastTerm(), this->log.lastIndex(), this->selfId);
    answer.granted =
        this->awaitsFirstLeader() && theirs > ours && request.forTerm > this->hardState.term;
    answer.startupId = answer.granted ? this->startupId : 0;
    return answer;
}

void RaftCore::onStartupPreVoteReply(ReplicaId from, const VoteReply &answer)
{
    if (!answer.granted || !this->awaitsFirstLeader() || answer.forTerm != this->hardState.term + 1)
        return;
    this->startupGrants[from] = answer.startupId;
    for (const MemberRecord &member : this->members().members) {
        if (member.voter && this->startupGrants.count(member.replica) == 0)
            return;
    }
    this->startElection(false);
}

/// Continues the previous leader's count of how long members have been silent, and counts that
/// leader itself from when it was last heard.
///
/// Guards against a lost voter that is never replaced because each leader counts from its own
/// election, and is lost before it has counted to the end.
void RaftCore::inheritSilence()
{
    // A leader repeats the report for as long as it has one to make.
    const bool isCurrent = this->silentReportedAt != Instant{}
        && this->silentReportedAt + this->options.electionMin >= this->lastLeaderContact;
    if (!isCurrent)
        this->silentUnderLeader.clear();
    if (this->lastLeader != ReplicaId::None)
        this->silentUnderLeader[this->lastLeader] = this->lastLeaderContact;
    for (const auto &[replica, since] : this->silentUnderLeader) {
        const auto peer = this->progress.find(replica);
        if (peer != this->progress.end())
            peer->second.silentSince = std::min(peer->second.silentSince, since);
    }
}

void RaftCore::startElection(bool transfer)
{
    this->setTerm(this->hardState.term + 1);
    this->hardState.votedFor = this->selfId;
    this->hardStateChanged = true;
    this->currentRole = ReplicaRole::Candidate;
    this->isPreCandidate = false;
    this->currentLeader = ReplicaId::None;
    this->electionAt = this->randomElectionDeadline();
    this->votes = {this->selfId};
    this->countVotes(false);
    if (this->currentRole == ReplicaRole::Candidate)
        this->requestVotes(false, transfer);
}

void RaftCore::requestVotes(bool preVote, bool transfer)
{
    VoteRequest request;
    request.preVote = preVote;
    request.transfer = transfer;
    request.forTerm = preVote ? this->hardState.term + 1 : this->hardState.term;
    request.lastIndex = this->log.lastIndex();
    request.lastTerm = this->log.lastTerm();
    for (const MemberRecord &member : this->members().members) {
        if (!member.voter || member.replica == this->selfId)
            continue;
        const auto grant = this->startupGrants.find(member.replica);
        request.startupId = preVote || grant == this->startupGrants.end() ? 0 : grant->second;
        this->sendTo(member, request, false);
    }
    this->startupGrants.clear();
}

void RaftCore::countVotes(bool preVote)
{
    const auto granted =
        std::count_if(this->votes.begin(), this->votes.end(),
                      [&](ReplicaId replica) { return this->members().isVoter(replica); });
    if (static_cast<std::size_t>(granted) < this->members().quorum())
        return;
    if (preVote)
        this->startElection(false);
    else
        this->becomeLeader();
}

void RaftCore::becomeLeader()
{
    this->currentRole = ReplicaRole::Leader;
    this->startupId = 0;
    this->currentLeader = this->selfId;
    this->leadsSince = this->now;
    this->heartbeatAt = this->now + this->options.heartbeat;
    this->progress.clear();
    this->quorumIndex = this->commitIndex;
    this->trackMembers();
    this->inheritSilence();
    this->sendHeartbeats();
    // Entries of earlier terms are committed only through an entry of the current term (2014 paper,
    // 5.4.2).
    this->noOpIndex = this->log.lastIndex() + 1;
    this->appendEntry({this->noOpIndex, this->hardState.term, EntryKind::NoOp, {}});
}

/// While a voter hears from a leader, it votes for no other replica (thesis, 4.2.3 and 6.4.1). A
/// removed or returning replica therefore cannot depose the leader, and the leader's lease holds.
bool RaftCore::hasRecentLeader() const
{
    return this->currentRole == ReplicaRole::Leader
        || this->now < this->lastLeaderContact + this->options.electionMin;
}

void RaftCore::onVoteRequest(const RaftMessage &message, const VoteRequest &request,
                             std::uint64_t token)
{
    if (request.isStartupPreVote) {
        this->reply(message, token, this->startupPreVoteReply(message, request));
        return;
    }
    VoteReply answer;
    answer.preVote = request.preVote;
    answer.forTerm = request.forTerm;
    // The wait is waived only for the process start that granted the startup pre-vote, and only
    // until it hears from a leader: a voter that has heard from one, or has restarted since, may
    // have promised that leader to wait.
    const bool isWaived = this->awaitsFirstLeader() && request.startupId == this->startupId;
    const bool refuses = this->hasRecentLeader() && !request.transfer && !isWaived;
    const auto last = std::make_pair(this->log.lastTerm(), this->log.lastIndex());
    const bool isUpToDate = std::make_pair(request.lastTerm, request.lastIndex) >= last;
    if (request.preVote) {
        answer.granted = !refuses && isUpToDate && request.forTerm > this->hardState.term;
    } else if (!refuses && request.forTerm >= this->hardState.term) {
        if (request.forTerm > this->hardState.term)
            this->becomeFollower(request.forTerm, ReplicaId::None);
        const ReplicaId vote = this->hardState.votedFor;
        answer.granted = isUpToDate && (vote == ReplicaId::None || vote == message.from);
    }
    if (answer.granted && !request.preVote) {
        this->hardStateChanged = this->hardStateChanged || this->hardState.votedFor != message.from;
        this->hardState.votedFor = message.from;
        this->electionAt = this->randomElectionDeadline();
    }
    this->reply(message, token, answer);
}

void RaftCore::onVoteReply(const RaftMessage &message, const VoteReply &answer)
{
    if (answer.startupId != 0) {
        this->onStartupPreVoteReply(message.from, answer);
        return;
    }
    const std::uint64_t wanted =
        this->isPreCandidate ? this->hardState.term + 1 : this->hardState.term;
    const bool isAwaited = this->currentRole == ReplicaRole::Candidate
        && answer.preVote == this->isPreCandidate && answer.forTerm == wanted;
    if (!isAwaited || !answer.granted)
        return;
    this->votes.insert(message.from);
    this->countVotes(answer.preVote);
}

void RaftCore::onTimeoutNow(const RaftMessage &message)
{
    if (message.from == this->currentLeader && this->members().isVoter(this->selfId))
        this->startElection(true);
}

Result<LogIndex> RaftCore::form(const MemberList &list, Instant time)
{
    this->now = std::max(this->now, time);
    if (this->isFormed())
        return failure(ErrorCode::Conflict, "the group has been formed already");
    if (!list.isVoter(this->selfId) || list.formation == 0) {
        return failure(ErrorCode::InvalidArgument,
                       "the initial members must include the instance that forms the group");
    }
    this->adoptFormation(list.formation);
    this->setTerm(firstTerm);
    this->appendEntry({firstIndex, firstTerm, EntryKind::Members, encode(list)});
    this->electionAt = this->now + this->options.heartbeat;
    return firstIndex;
}

/// Joins the group that the sender has formed. A replica that already belongs to a formation
/// refuses any other, so two operators who form two groups at the same time cannot both get a
/// quorum.
void RaftCore::onFormRequest(const RaftMessage &message, const FormRequest &request,
                             std::uint64_t token)
{
    const bool isUnformed =
        !this->isFormed() && this->log.lastIndex() == 0 && message.formation != 0;
    if (isUnformed && (!request.first || this->isFirstEntry(*request.first, message.formation))) {
        this->adoptFormation(message.formation);
        this->setTerm(std::max(this->hardState.term, firstTerm));
        if (request.first)
            this->appendEntry(*request.first);
    }
    this->replyIdentity(message, token);
}

bool RaftCore::holdsNothing() const
{
    if (!this->isFormed())
        return this->log.lastIndex() == 0;
    return this->log.baseIndex() == 0 && this->log.lastIndex() == firstIndex
        && this->commitIndex == 0 && this->hardState.term == firstTerm
        && this->hardState.votedFor == ReplicaId::None && this->currentLeader == ReplicaId::None;
}

void RaftCore::abandonFormation()
{
    assert(this->holdsNothing() && "a replica that has taken part in a group stays in it");
    this->log.reset(0, 0);
    this->memberHistory.assign(1, {});
    this->syncedIndex = 0;
    this->hardState = {};
    this->hardStateChanged = true;
    this->currentRole = ReplicaRole::Follower;
    this->isPreCandidate = false;
    this->votes.clear();
    this->startupGrants.clear();
    this->pending.batch.entries.clear();
    this->pending.batch.resetTo = 0;
}

bool RaftCore::isFirstEntry(const LogEntry &entry, std::uint64_t formation) const
{
    const auto list = decode<MemberList>(entry.payload);
    return list && list.value().formation == formation && entry.index == firstIndex
        && entry.term == firstTerm && entry.kind == EntryKind::Members;
}

void RaftCore::adoptFormation(std::uint64_t formation)
{
    this->hardState.formation = formation;
    this->hardStateChanged = true;
    this->electionAt = this->randomElectionDeadline();
}

} // namespace guavavalve
