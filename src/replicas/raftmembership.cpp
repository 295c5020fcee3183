#include "replicas/raftcore.h"

#include "core/codec.h"

#include <algorithm>
#include <utility>

// Changes of members, one at a time (thesis, 4.1 and 4.2).

namespace guavavalve {

void RaftCore::trackMembers()
{
    for (auto peer = this->progress.begin(); peer != this->progress.end();) {
        const bool isMember = this->members().find(peer->first) != nullptr;
        peer = isMember ? std::next(peer) : this->progress.erase(peer);
    }
    for (const MemberRecord &member : this->members().members) {
        if (member.replica == this->own || this->progress.count(member.replica) != 0)
            continue;
        Progress peer;
        peer.next = this->log.lastIndex() + 1;
        this->progress.emplace(member.replica, std::move(peer));
    }
}

/// One change at a time, and only beneath a committed entry of this leader's own term: else two
/// leaders' changes could have quorums that do not overlap (Ongaro's note of 2015 on the thesis'
/// single-server changes).
bool RaftCore::mayChangeMembers() const
{
    return this->currentRole == ReplicaRole::Leader && this->commit >= this->noOpIndex
        && this->history.back().index <= this->commit && !this->isTransferring();
}

LogIndex RaftCore::proposeMembers(const MemberList &list)
{
    const LogIndex index = this->log.lastIndex() + 1;
    this->appendEntry({index, this->hard.term, EntryKind::Members, encode(list)});
    return index;
}

Result<LogIndex> RaftCore::addLearner(MemberRecord member)
{
    if (this->currentRole != ReplicaRole::Leader)
        return failure(ErrorCode::NotLeader, "this replica does not lead its group");
    if (this->members().find(member.replica) != nullptr)
        return failure(ErrorCode::Conflict, member.instance + " is a member already");
    if (!this->mayChangeMembers())
        return failure(ErrorCode::Unavailable, "another change of members is under way");
    member.voter = false;
    for (const MemberRecord &other : this->members().members) {
        // The same instance with another disk: what is left of the lost one goes.
        if (other.instance == member.instance)
            member.replaces = other.replica;
    }
    MemberList list = this->members();
    list.members.push_back(std::move(member));
    return this->proposeMembers(list);
}

Result<LogIndex> RaftCore::removeInstance(const InstanceId &instance)
{
    if (this->currentRole != ReplicaRole::Leader)
        return failure(ErrorCode::NotLeader, "this replica does not lead its group");
    MemberList list = this->members();
    const auto found = std::find_if(list.members.begin(), list.members.end(),
                                    [&](const auto &m) { return m.instance == instance; });
    if (found == list.members.end())
        return failure(ErrorCode::NotFound, instance + " is not a member");
    if (found->voter && list.voters() == 1)
        return failure(ErrorCode::InvalidArgument, "the last voter cannot be removed");
    if (!this->mayChangeMembers())
        return failure(ErrorCode::Unavailable, "another change of members is under way");
    list.members.erase(found);
    return this->proposeMembers(list);
}

void RaftCore::onIdentityReply(const RaftMessage & /*message*/, const IdentityReply &answer)
{
    const bool isOurs = answer.formation == 0 || answer.formation == this->hard.formation;
    if (!this->isFormed() || !isOurs)
        return;
    const MemberRecord *member = this->members().find(answer.replica);
    if (member != nullptr && answer.formation != 0)
        return;
    if (member != nullptr) {
        // It has never voted or stored anything under this identity, so it may begin to. Without
        // this, a voter that missed the formation could not help to elect a leader.
        FormRequest request;
        if (this->log.baseIndex() == 0 && this->log.lastIndex() >= 1)
            request.first = this->log.at(1);
        this->sendTo(*member, std::move(request), false);
        return;
    }
    if (this->currentRole != ReplicaRole::Leader)
        return;
    for (const MemberRecord &record : this->members().members) {
        const auto peer = this->progress.find(record.replica);
        if (record.instance == answer.instance && peer != this->progress.end())
            peer->second.foundInstead = answer.replica;
    }
}

void RaftCore::changeMembersOnTick()
{
    if (!this->mayChangeMembers() || this->promoteLearner())
        return;
    this->admitReplacement();
}

/// An instance that lost its disk comes back as another replica: it joins as a learner.
///
/// Guards against the votes and acknowledgements that went with the disk: counted under the old
/// identity, an empty folder could help to elect a leader without a committed entry.
bool RaftCore::admitReplacement()
{
    for (const MemberRecord &member : this->members().members) {
        const auto peer = this->progress.find(member.replica);
        if (peer == this->progress.end() || peer->second.foundInstead == ReplicaId::None)
            continue;
        const ReplicaId newcomer = std::exchange(peer->second.foundInstead, ReplicaId::None);
        if (this->members().find(newcomer) != nullptr)
            continue;
        MemberList list = this->members();
        list.members.push_back({member.instance, newcomer, member.address, false, member.replica});
        this->proposeMembers(list);
        return true;
    }
    return false;
}

bool RaftCore::hasAnswered(ReplicaId replica, Milliseconds within) const
{
    const auto peer = this->progress.find(replica);
    return peer != this->progress.end() && this->now <= peer->second.answeredAt + within;
}

std::optional<MemberRecord> RaftCore::findUnresponsiveVoter(Milliseconds goneAfter) const
{
    if (!this->mayChangeMembers() || this->now < this->leadsSince + goneAfter)
        return std::nullopt;
    const auto &all = this->members().members;
    for (const MemberRecord &member : all) {
        const bool isReplaced = std::any_of(
            all.begin(), all.end(), [&](const auto &m) { return m.replaces == member.replica; });
        const bool isGone = member.voter && member.replica != this->own
            && !this->hasAnswered(member.replica, goneAfter);
        if (isGone && !isReplaced)
            return member;
    }
    return std::nullopt;
}

bool RaftCore::isCaughtUp(const MemberRecord &member) const
{
    const auto peer = this->progress.find(member.replica);
    return peer != this->progress.end() && peer->second.state == Progress::State::Replicate
        && peer->second.match >= this->commit
        && this->hasAnswered(member.replica, this->options.electionMin);
}

/// Guards against a second loss straight after a repair: a newcomer that counted before it had
/// synced everything would leave a committed entry on too few disks. What it replaces goes
/// first, so that the dead and the new never raise the quorum together.
bool RaftCore::promoteLearner()
{
    for (const MemberRecord &member : this->members().members) {
        // While the one to be replaced answers, the learner stays a learner, ready.
        if (member.voter || !this->isCaughtUp(member)
            || this->hasAnswered(member.replaces, this->options.electionMin))
            continue;
        MemberList list = this->members();
        const auto old = std::find_if(list.members.begin(), list.members.end(),
                                      [&](const auto &m) { return m.replica == member.replaces; });
        const auto learner =
            std::find_if(list.members.begin(), list.members.end(),
                         [&](const auto &m) { return m.replica == member.replica; });
        if (old != list.members.end())
            list.members.erase(old);
        else
            learner->voter = true;
        this->proposeMembers(list);
        return true;
    }
    return false;
}

} // namespace guavavalve
