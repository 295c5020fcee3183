#include "replicas/raftcore.h"

#include "core/codec.h"

#include <algorithm>
#include <tuple>
#include <utility>

// Elections and the group's one formation.

namespace guavavalve {

namespace {

constexpr LogIndex firstIndex = 1;
constexpr std::uint64_t firstTerm = 1;

} // namespace

/// A voter whose removal is not known to be committed may still be needed: if it has the longest
/// log, nobody else can win (thesis, 4.2.2). It does not count its own vote then.
bool RaftCore::mayStand() const
{
    if (this->members().isVoter(this->own))
        return true;
    const std::size_t lists = this->history.size();
    return lists > 1 && this->history.back().index > this->commit
        && this->history[lists - 2].list.isVoter(this->own);
}

/// Asks first whether an election could be won, without touching any term (thesis, 9.6).
///
/// Guards against a replica that was cut off for long: its term would have grown with every
/// vain election, and on its return it would depose a healthy leader. Pre-vote leaves its term
/// as it was, and the others refuse while they hear their leader.
void RaftCore::startPreVote()
{
    this->currentRole = ReplicaRole::Candidate;
    this->isPreCandidate = true;
    this->currentLeader = ReplicaId::None;
    this->electionAt = this->afterElectionTimeout();
    this->votes = {this->own};
    this->countVotes(true);
    if (this->isPreCandidate)
        this->requestVotes(true, false);
}

/// This replica has just started and no leader has been heard since.
bool RaftCore::isFresh() const
{
    return this->freshStart != 0 && this->currentRole != ReplicaRole::Leader;
}

/// Asks all voters whether they too follow nobody.
///
/// Guards against a whole election timeout without a leader after all replicas were restarted:
/// callers saw 0.5 to 1 s more of silence than the restart took. A voter that starts waits, since
/// it may have promised a leader not to vote for another. If every voter says that it neither leads
/// nor has heard a leader since it started, there is none to whom the promise could matter, and an
/// election is held at once. Each voter grants this only to a replica that comes after itself, by
/// the end of its log and then by its identity; so only one is granted it by all.
void RaftCore::askEarly()
{
    this->earlyAt = this->now + this->options.heartbeat;
    if (!this->members().isVoter(this->own))
        return;
    this->earlyGrants.clear();
    this->earlyGrants[this->own] = this->freshStart;
    VoteRequest request;
    request.preVote = true;
    request.isEarly = true;
    request.forTerm = this->hard.term + 1;
    request.lastIndex = this->log.lastIndex();
    request.lastTerm = this->log.lastTerm();
    for (const MemberRecord &member : this->members().members) {
        if (member.voter && member.replica != this->own)
            this->sendTo(member, request, false);
    }
}

VoteReply RaftCore::earlyReply(const RaftMessage &message, const VoteRequest &request) const
{
    VoteReply answer;
    answer.preVote = true;
    answer.forTerm = request.forTerm;
    const auto theirs = std::make_tuple(request.lastTerm, request.lastIndex, message.from);
    const auto ours = std::make_tuple(this->log.lastTerm(), this->log.lastIndex(), this->own);
    answer.granted = this->isFresh() && theirs > ours && request.forTerm > this->hard.term;
    answer.freshStart = answer.granted ? this->freshStart : 0;
    return answer;
}

void RaftCore::onEarlyReply(ReplicaId from, const VoteReply &answer)
{
    if (!answer.granted || !this->isFresh() || answer.forTerm != this->hard.term + 1)
        return;
    this->earlyGrants[from] = answer.freshStart;
    for (const MemberRecord &member : this->members().members) {
        if (member.voter && this->earlyGrants.count(member.replica) == 0)
            return;
    }
    this->startElection(false);
}

void RaftCore::startElection(bool transfer)
{
    this->setTerm(this->hard.term + 1);
    this->hard.votedFor = this->own;
    this->hardChanged = true;
    this->currentRole = ReplicaRole::Candidate;
    this->isPreCandidate = false;
    this->currentLeader = ReplicaId::None;
    this->electionAt = this->afterElectionTimeout();
    this->votes = {this->own};
    this->countVotes(false);
    if (this->currentRole == ReplicaRole::Candidate)
        this->requestVotes(false, transfer);
}

void RaftCore::requestVotes(bool preVote, bool transfer)
{
    VoteRequest request;
    request.preVote = preVote;
    request.transfer = transfer;
    request.forTerm = preVote ? this->hard.term + 1 : this->hard.term;
    request.lastIndex = this->log.lastIndex();
    request.lastTerm = this->log.lastTerm();
    for (const MemberRecord &member : this->members().members) {
        if (!member.voter || member.replica == this->own)
            continue;
        const auto early = this->earlyGrants.find(member.replica);
        request.freshStart = preVote || early == this->earlyGrants.end() ? 0 : early->second;
        this->sendTo(member, request, false);
    }
    this->earlyGrants.clear();
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
    this->freshStart = 0;
    this->currentLeader = this->own;
    this->leadsSince = this->now;
    this->heartbeatAt = this->now + this->options.heartbeat;
    this->progress.clear();
    this->trackMembers();
    this->sendHeartbeats();
    // Entries of earlier terms commit only beneath one of this term (2014 paper, 5.4.2).
    this->noOpIndex = this->log.lastIndex() + 1;
    this->appendEntry({this->noOpIndex, this->hard.term, EntryKind::NoOp, {}});
}

/// While a leader is heard, nobody votes for another (thesis, 4.2.3 and 6.4.1): a removed or
/// returning replica deposes no one, and the leader's lease holds.
bool RaftCore::hearsLeader() const
{
    return this->currentRole == ReplicaRole::Leader
        || this->now < this->heardLeaderAt + this->options.electionMin;
}

void RaftCore::onVoteRequest(const RaftMessage &message, const VoteRequest &request,
                             std::uint64_t token)
{
    if (request.isEarly) {
        this->reply(message, token, this->earlyReply(message, request));
        return;
    }
    VoteReply answer;
    answer.preVote = request.preVote;
    answer.forTerm = request.forTerm;
    // A waiver holds for the start that gave it, as long as that has heard no leader since: a voter
    // that has, or has been restarted after it had, may have promised that leader to wait.
    const bool isWaived = this->isFresh() && request.freshStart == this->freshStart;
    const bool waits = this->hearsLeader() && !request.transfer && !isWaived;
    const auto last = std::make_pair(this->log.lastTerm(), this->log.lastIndex());
    const bool isUpToDate = std::make_pair(request.lastTerm, request.lastIndex) >= last;
    if (request.preVote) {
        answer.granted = !waits && isUpToDate && request.forTerm > this->hard.term;
    } else if (!waits && request.forTerm >= this->hard.term) {
        if (request.forTerm > this->hard.term)
            this->becomeFollower(request.forTerm, ReplicaId::None);
        const ReplicaId vote = this->hard.votedFor;
        answer.granted = isUpToDate && (vote == ReplicaId::None || vote == message.from);
    }
    if (answer.granted && !request.preVote) {
        this->hardChanged = this->hardChanged || this->hard.votedFor != message.from;
        this->hard.votedFor = message.from;
        this->electionAt = this->afterElectionTimeout();
    }
    this->reply(message, token, answer);
}

void RaftCore::onVoteReply(const RaftMessage &message, const VoteReply &answer)
{
    if (answer.freshStart != 0) {
        this->onEarlyReply(message.from, answer);
        return;
    }
    const std::uint64_t wanted = this->isPreCandidate ? this->hard.term + 1 : this->hard.term;
    const bool isAwaited = this->currentRole == ReplicaRole::Candidate
        && answer.preVote == this->isPreCandidate && answer.forTerm == wanted;
    if (!isAwaited || !answer.granted)
        return;
    this->votes.insert(message.from);
    this->countVotes(answer.preVote);
}

void RaftCore::onTimeoutNow(const RaftMessage &message)
{
    if (message.from == this->currentLeader && this->members().isVoter(this->own))
        this->startElection(true);
}

Result<LogIndex> RaftCore::form(const MemberList &list, Instant time)
{
    this->now = std::max(this->now, time);
    if (this->isFormed())
        return failure(ErrorCode::Conflict, "the group has been formed already");
    if (!list.isVoter(this->own) || list.formation == 0) {
        return failure(ErrorCode::InvalidArgument,
                       "the first members must include the instance that forms the group");
    }
    this->adoptFormation(list.formation);
    this->setTerm(firstTerm);
    this->appendEntry({firstIndex, firstTerm, EntryKind::Members, encode(list)});
    this->electionAt = this->now + this->options.heartbeat;
    return firstIndex;
}

/// Joins a formation, once: a replica that has been formed refuses another
/// formation, so two operators who form two groups at once cannot both get a quorum.
void RaftCore::onFormRequest(const RaftMessage &message, const FormRequest &request,
                             std::uint64_t token)
{
    const bool isFresh = !this->isFormed() && this->log.lastIndex() == 0 && message.formation != 0;
    if (isFresh && (!request.first || this->isFirstEntry(*request.first, message.formation))) {
        this->adoptFormation(message.formation);
        this->setTerm(std::max(this->hard.term, firstTerm));
        if (request.first)
            this->appendEntry(*request.first);
    }
    this->replyIdentity(message, token);
}

bool RaftCore::isFirstEntry(const LogEntry &entry, std::uint64_t formation) const
{
    const auto list = decode<MemberList>(entry.payload);
    return list && list.value().formation == formation && entry.index == firstIndex
        && entry.term == firstTerm && entry.kind == EntryKind::Members;
}

void RaftCore::adoptFormation(std::uint64_t formation)
{
    this->hard.formation = formation;
    this->hardChanged = true;
    this->electionAt = this->afterElectionTimeout();
}

} // namespace guavavalve
