#include "replicas/raftcore.h"

#include "core/codec.h"

#include <algorithm>
#include <utility>

// Single-server membership changes (thesis, 4.1 and 4.2).

namespace guavavalve {

void RaftCore::trackMembers()
{
    for (auto peer = this->progress.begin(); peer != this->progress.end();) {
        const bool isMember = this->members().find(peer->first) != nullptr;
        peer = isMember ? std::next(peer) : this->progress.erase(peer);
    }
    for (const MemberRecord &member : this->members().members) {
        if (member.replica == this->selfId || this->progress.count(member.replica) != 0)
            continue;
        Progress peer;
        peer.next = this->log.lastIndex() + 1;
        peer.trackedSince = this->now;
        peer.silentSince = this->now;
        this->progress.emplace(member.replica, std::move(peer));
    }
}

/// Allows one change at a time, and only after an entry of this leader's own term has been
/// committed. Otherwise the changes of two leaders could have quorums that do not overlap (Ongaro's
/// 2015 correction to the thesis' single-server changes). A majority of the voters decides here,
/// whatever RaftCoreOptions::minCopies: with a voter down, only a change brings the missing copy.
bool RaftCore::mayChangeMembers() const
{
    return this->currentRole == ReplicaRole::Leader && this->quorumIndex >= this->noOpIndex
        && this->memberHistory.back().index <= this->quorumIndex && !this->isTransferring();
}

LogIndex RaftCore::proposeMembers(const MemberList &list)
{
    const LogIndex index = this->log.lastIndex() + 1;
    this->appendEntry({index, this->hardState.term, EntryKind::Members, encode(list)});
    return index;
}

Result<LogIndex> RaftCore::addLearner(MemberRecord member)
{
    if (this->currentRole != ReplicaRole::Leader)
        return failure(ErrorCode::NotLeader, "this replica is not the leader of its group");
    if (this->members().find(member.replica) != nullptr)
        return failure(ErrorCode::Conflict, member.instance + " is already a member");
    if (!this->mayChangeMembers())
        return failure(ErrorCode::Unavailable, "another membership change is in progress");
    member.voter = false;
    for (const MemberRecord &other : this->members().members) {
        // The same instance with a new disk: its previous replica is to be removed.
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
        return failure(ErrorCode::NotLeader, "this replica is not the leader of its group");
    MemberList list = this->members();
    const auto found = std::find_if(list.members.begin(), list.members.end(),
                                    [&](const auto &m) { return m.instance == instance; });
    if (found == list.members.end())
        return failure(ErrorCode::NotFound, instance + " is not a member");
    if (found->voter && list.voters() == 1)
        return failure(ErrorCode::InvalidArgument, "the last voter cannot be removed");
    if (!this->mayChangeMembers())
        return failure(ErrorCode::Unavailable, "another membership change is in progress");
    list.members.erase(found);
    return this->proposeMembers(list);
}

void RaftCore::onIdentityReply(const RaftMessage & /*message*/, const IdentityReply &answer)
{
    const bool isOurs = answer.formation == 0 || answer.formation == this->hardState.formation;
    if (!this->isFormed() || !isOurs)
        return;
    const MemberRecord *member = this->members().find(answer.replica);
    if (member != nullptr && answer.formation != 0)
        return;
    if (member != nullptr) {
        // The replica has never voted or stored anything under this identity, so it may join now.
        // Without this, a voter that missed the formation could not help to elect a leader.
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
            peer->second.replacement = answer.replica;
    }
}

void RaftCore::changeMembersOnTick()
{
    if (!this->mayChangeMembers() || this->promoteLearner() || this->removeSupersededLearner()
        || this->removeSilentLearner())
        return;
    this->admitReplacement();
}

/// Adds an instance that lost its disk, and returned as a new replica, as a learner.
///
/// The votes and acknowledgements of the old replica were lost with the disk. If the empty replica
/// counted under the old identity, it could help to elect a leader that lacks a committed entry.
bool RaftCore::admitReplacement()
{
    for (const MemberRecord &member : this->members().members) {
        const auto peer = this->progress.find(member.replica);
        if (peer == this->progress.end() || peer->second.replacement == ReplicaId::None)
            continue;
        const ReplicaId newReplica = std::exchange(peer->second.replacement, ReplicaId::None);
        if (this->members().find(newReplica) != nullptr)
            continue;
        MemberList list = this->members();
        list.members.push_back(
            {member.instance, newReplica, member.address, false, member.replica});
        this->proposeMembers(list);
        return true;
    }
    return false;
}

/// The list without \a learner. One that has a new disk of the same instance inherits its place: it
/// replaces what \a learner was to replace, and would otherwise be promoted beside that.
MemberList RaftCore::withoutLearner(MemberList list, const MemberRecord &learner)
{
    const MemberRecord removed = learner;
    list.members.erase(std::find_if(list.members.begin(), list.members.end(),
                                    [&](const auto &m) { return m.replica == removed.replica; }));
    for (MemberRecord &one : list.members) {
        if (one.replaces == removed.replica)
            one.replaces = removed.replaces;
    }
    return list;
}

/// Removes a learner whose disk was lost while it was replacing a voter, once the instance is a
/// voter again by a later disk. It would keep the place of another instance for good.
bool RaftCore::removeSupersededLearner()
{
    const auto &all = this->members().members;
    for (const MemberRecord &learner : all) {
        const bool isSuperseded = std::any_of(all.begin(), all.end(), [&](const auto &other) {
            return other.voter && other.instance == learner.instance
                && other.replica != learner.replaces;
        });
        if (learner.voter || !isSuperseded)
            continue;
        this->proposeMembers(withoutLearner(this->members(), learner));
        return true;
    }
    return false;
}

bool RaftCore::hasReplied(ReplicaId replica, Milliseconds within) const
{
    const auto peer = this->progress.find(replica);
    return peer != this->progress.end() && this->now <= peer->second.lastReplyAt + within;
}

/// True if the member has replied to nobody who led for \a timeout. Only after this leader has
/// given it the time to reply: it may have been unreachable for the previous leader alone.
bool RaftCore::isSilent(ReplicaId replica, Milliseconds timeout) const
{
    const auto peer = this->progress.find(replica);
    return peer != this->progress.end() && this->now >= peer->second.silentSince + timeout
        && this->now >= this->leadsSince + this->options.electionMax;
}

const MemberRecord *
RaftCore::longestSilentVoter(Milliseconds timeout,
                             const std::function<bool(const MemberRecord &)> &isExcluded) const
{
    const MemberRecord *longest = nullptr;
    for (const MemberRecord &member : this->members().members) {
        if (!member.voter || !this->isSilent(member.replica, timeout) || isExcluded(member))
            continue;
        const bool isLonger = longest == nullptr
            || this->progress.at(member.replica).silentSince
                < this->progress.at(longest->replica).silentSince;
        longest = isLonger ? &member : longest;
    }
    return longest;
}

std::optional<MemberRecord> RaftCore::findUnresponsiveVoter(Milliseconds timeout) const
{
    if (!this->mayChangeMembers())
        return std::nullopt;
    const auto &all = this->members().members;
    const MemberRecord *found = this->longestSilentVoter(timeout, [&](const MemberRecord &voter) {
        return std::any_of(all.begin(), all.end(), [&](const MemberRecord &learner) {
            return !learner.voter && learner.replaces == voter.replica
                && !this->isSilent(learner.replica, this->options.electionMax);
        });
    });
    return found == nullptr ? std::nullopt : std::optional(*found);
}

/// Removes a learner that has not replied for so long that it counts as gone: its successor at
/// another address would wait for its place, and the voter that it was to replace for another one.
bool RaftCore::removeSilentLearner()
{
    for (const MemberRecord &member : this->members().members) {
        const auto peer = this->progress.find(member.replica);
        const bool isSilent = peer != this->progress.end()
            && this->now >= peer->second.trackedSince + this->options.learnerTimeout
            && !this->hasReplied(member.replica, this->options.learnerTimeout);
        if (member.voter || !isSilent)
            continue;
        this->proposeMembers(withoutLearner(this->members(), member));
        return true;
    }
    return false;
}

bool RaftCore::isCaughtUp(const MemberRecord &member) const
{
    const auto peer = this->progress.find(member.replica);
    return peer != this->progress.end() && peer->second.state == Progress::State::Replicate
        && peer->second.match >= std::max(this->commitIndex, this->quorumIndex)
        && this->hasReplied(member.replica, this->options.electionMin);
}

/// The learner is the same instance with a new disk: the replica that it replaces cannot return.
bool RaftCore::isNewDiskOf(const MemberRecord &learner, const MemberRecord &voter)
{
    return learner.replaces == voter.replica && learner.instance == voter.instance;
}

/// The voter whose place the learner is to take now, or the learner whose new disk it is, or null.
/// A spare takes the place of whatever voter is gone, so that one that was admitted for a voter
/// which has returned is not kept in vain.
const MemberRecord *RaftCore::memberToReplace(const MemberRecord &learner) const
{
    const auto &all = this->members().members;
    const MemberRecord *intended = this->members().find(learner.replaces);
    if (intended != nullptr && isNewDiskOf(learner, *intended))
        return this->hasReplied(intended->replica, this->options.electionMin) ? nullptr : intended;
    if (this->options.goneAfter == Milliseconds(0))
        return nullptr;
    return this->longestSilentVoter(this->options.goneAfter, [&](const MemberRecord &voter) {
        return std::any_of(all.begin(), all.end(), [&](const MemberRecord &other) {
            return !other.voter && isNewDiskOf(other, voter)
                && !this->isSilent(other.replica, this->options.electionMax);
        });
    });
}

/// Promotes a learner only after it has synced all committed entries. If it counted as a voter
/// earlier, a second loss straight after a repair would leave a committed entry on too few disks.
/// The replica that it replaces is removed first, so that the lost and the new replica never
/// increase the quorum together.
bool RaftCore::promoteLearner()
{
    for (const MemberRecord &member : this->members().members) {
        if (member.voter || !this->isCaughtUp(member))
            continue;
        MemberList list = this->members();
        if (list.find(member.replaces) == nullptr) {
            for (MemberRecord &one : list.members)
                one.voter |= one.replica == member.replica;
            this->proposeMembers(list);
            return true;
        }
        const MemberRecord *gone = this->memberToReplace(member);
        if (gone == nullptr)
            continue;
        if (!gone->voter) {
            this->proposeMembers(withoutLearner(std::move(list), *gone));
            return true;
        }
        list.members.erase(std::find_if(list.members.begin(), list.members.end(),
                                        [&](const auto &m) { return m.replica == gone->replica; }));
        for (MemberRecord &one : list.members) {
            if (one.replica == member.replica)
                one.replaces = gone->replica;
            else if (!one.voter && one.replaces == gone->replica
                     && one.instance != member.instance) // otherwise it is superseded
                one.replaces = member.replica; // its place is taken: two would be promoted for one
        }
        this->proposeMembers(list);
        return true;
    }
    return false;
}

} // namespace guavavalve
