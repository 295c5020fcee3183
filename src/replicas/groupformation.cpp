#include "replicas/groupformation.h"

#include "replicas/raftcore.h"

#include <string>
#include <utility>
#include <variant>

namespace guavavalve {

namespace {

/// Longer than the members of a formation take to identify themselves. Members reserved by a
/// formation that was abandoned become free after this time.
constexpr Milliseconds reservationTimeout{3000};
/// A replica that has heard from a working group within this time lets itself be reserved for no
/// other.
constexpr Milliseconds groupMemory{10000};

} // namespace

/// A formation that waits until the other members have identified themselves.
struct GroupFormation::Pending
{
    MemberList list;
    std::size_t awaited = 0;
    std::size_t founders = 0; ///< members whose disks remember the founding of the first start
    Result<void> outcome = boost::outcome_v2::success();
    Done<Nothing> done;
};

GroupFormation::GroupFormation(const RaftOptions &options, RaftCore &replica,
                               FormationHooks ownerHooks)
    : instance(options.instance)
    , clock(options.clock)
    , random(options.random)
    , founding(options.clusterId, options.group, options.founders)
    , core(replica)
    , hooks(std::move(ownerHooks))
{}

/// The identity shows that the disk was empty at the first start of the whole group, and that it is
/// the same disk: nothing else is needed to go on with the founding, at whatever moment it ended.
bool GroupFormation::resumeFounding()
{
    return !this->core.isFormed() && this->founding.isFounder(this->instance)
        && this->core.self() == this->founding.identityOf(this->instance)
        && this->core.form(this->founding.members(), this->clock()).has_value();
}

IdentityReply GroupFormation::onIdentifyRequest(const IdentifyRequest &request)
{
    const Instant now = this->clock();
    if (request.releaseFormation != 0 && request.releaseFormation == this->reservedFor)
        this->reservedFor = 0;
    const bool isUnreserved = this->reservedFor == 0 || now >= this->reservedUntil;
    if (request.reserveForFormation != 0 && isUnreserved && this->mayJoin(now)) {
        this->reservedFor = request.reserveForFormation;
        this->reservedUntil = now + reservationTimeout;
    }
    // One that has taken part in no group can be added to any.
    const bool isFree = request.reserveForFormation == 0 && this->core.holdsNothing();
    return {this->instance, this->core.self(), isFree ? 0 : this->core.formation(),
            this->reservedFor};
}

/// Guards against a second group: machines that are in no group are as empty as lost disks, and the
/// list of founders of a later start may name such machines alone. The identity remembers the list
/// of the first start.
bool GroupFormation::knowsOtherFounders() const
{
    const ReplicaId self = this->core.self();
    return this->founding.members().formation != 0 && Founding::isOfFirstStart(self)
        && self != this->founding.identityOf(this->instance);
}

bool GroupFormation::mayJoin(Instant now) const
{
    return this->core.holdsNothing() && !this->knowsOtherFounders()
        && (this->groupHeardAt == Instant{} || now > this->groupHeardAt + groupMemory);
}

void GroupFormation::onMessage(const RaftMessage &message)
{
    this->noteGroup(message);
    this->leaveFounding(message);
}

/// Notes that a group with more than its first entry exists, which an empty disk cannot tell.
void GroupFormation::noteGroup(const RaftMessage &message)
{
    const auto *vote = std::get_if<VoteRequest>(&message.body);
    const bool isWorking = std::holds_alternative<AppendRequest>(message.body)
        || std::holds_alternative<HeartbeatRequest>(message.body)
        || std::holds_alternative<SnapshotRequest>(message.body)
        || (vote != nullptr && vote->lastIndex > 1);
    if (message.formation != 0 && isWorking)
        this->groupHeardAt = this->clock();
}

/// Joins a group that lists this replica, though it has written down a founding that too few of the
/// founders remember: it has taken no part in that one.
void GroupFormation::leaveFounding(const RaftMessage &message)
{
    const bool isInvitation = std::holds_alternative<FormRequest>(message.body)
        || std::holds_alternative<AppendRequest>(message.body)
        || std::holds_alternative<SnapshotRequest>(message.body);
    const bool isOther = message.formation != 0 && message.formation != this->core.formation();
    const bool isForThis = message.to == this->core.self();
    if (isInvitation && isOther && isForThis && this->core.isFormed()
        && Founding::isOfFirstStart(this->core.self()) && this->core.holdsNothing())
        this->core.abandonFormation();
}

Result<void> GroupFormation::checkFree() const
{
    const Instant now = this->clock();
    if (this->core.isFormed())
        return failure(ErrorCode::Conflict, "the group is already formed");
    if (this->reservedFor != 0 && now < this->reservedUntil)
        return failure(ErrorCode::Conflict, "this replica is reserved for another formation");
    if (!this->mayJoin(now))
        return failure(ErrorCode::Conflict, "this replica hears from a group");
    return boost::outcome_v2::success();
}

void GroupFormation::form(const std::vector<ReplicaMember> &members, const Done<Nothing> &done)
{
    if (const auto isFree = this->checkFree(); !isFree) {
        done(isFree.error());
        return;
    }
    auto pending = std::make_shared<Pending>();
    pending->done = done;
    do {
        pending->list.formation = this->random();
    } while (pending->list.formation == 0);
    this->reservedFor = pending->list.formation;
    this->reservedUntil = this->clock() + reservationTimeout;
    this->reserveMembers(pending, members);
}

void GroupFormation::reserveMembers(const std::shared_ptr<Pending> &pending,
                                    const std::vector<ReplicaMember> &members)
{
    std::vector<std::pair<std::size_t, std::string>> others;
    for (const ReplicaMember &member : members) {
        const bool isSelf = member.instance == this->instance;
        const ReplicaId replica = isSelf ? this->core.self() : ReplicaId::None;
        if (!isSelf)
            others.emplace_back(pending->list.members.size(), member.address);
        pending->list.members.push_back({member.instance, replica, member.address, true});
    }
    pending->awaited = others.size();
    for (const auto &[position, address] : others) {
        this->hooks.identify(address, IdentifyRequest{pending->list.formation, 0},
                             [this, pending, at = position](const Result<IdentityReply> &identity) {
                                 this->onMemberIdentified(pending, at, identity);
                             });
    }
    if (others.empty())
        this->formWhenIdentified(pending);
}

/// Every member must answer, must not belong to a group yet, and must be reserved for this
/// formation, so that two concurrent formations with common members cannot both succeed.
void GroupFormation::onMemberIdentified(const std::shared_ptr<Pending> &pending,
                                        std::size_t position, const Result<IdentityReply> &identity)
{
    MemberRecord &member = pending->list.members[position];
    if (!identity) {
        pending->outcome = failure(ErrorCode::Unavailable,
                                   member.instance + " at " + member.address
                                       + " did not answer: " + identity.error().message);
    } else if (identity.value().instance != member.instance) {
        pending->outcome = failure(ErrorCode::InvalidArgument,
                                   "the instance at " + member.address + " is "
                                       + identity.value().instance + ", not " + member.instance);
    } else if (identity.value().formation != 0
               && identity.value().formation != this->founding.members().formation) {
        pending->outcome =
            failure(ErrorCode::Conflict, member.instance + " already belongs to a formed group");
    } else if (identity.value().reservedForFormation != pending->list.formation) {
        pending->outcome =
            failure(ErrorCode::Conflict,
                    member.instance + " belongs to a group or is reserved for another formation");
    } else {
        member.replica = identity.value().replica;
        pending->founders += identity.value().formation != 0 ? 1 : 0;
    }
    if (--pending->awaited == 0)
        this->formWhenIdentified(pending);
}

/// Guards against two groups: founders that are a majority may elect a leader at any moment, and a
/// reservation that has expired may have been given to another formation.
Result<void> GroupFormation::checkPending(const Pending &pending) const
{
    if (pending.founders > 0 && pending.founders >= this->founding.members().quorum())
        return failure(ErrorCode::Conflict, "the founders can still elect a leader");
    const bool isReserved =
        this->reservedFor == pending.list.formation && this->clock() < this->reservedUntil;
    if (!isReserved)
        return failure(ErrorCode::Conflict, "the members took too long to identify themselves");
    return boost::outcome_v2::success();
}

void GroupFormation::formWhenIdentified(const std::shared_ptr<Pending> &pending)
{
    if (pending->outcome)
        pending->outcome = this->checkPending(*pending);
    if (!pending->outcome) {
        if (this->reservedFor == pending->list.formation)
            this->reservedFor = 0;
        this->releaseMembers(pending);
        return;
    }
    auto index = this->core.form(pending->list, this->clock());
    if (index)
        this->hooks.onFirstEntry(index.value(), pending->done);
    else
        pending->done(index.error());
}

/// Guards against members that stay reserved for a failed formation and so reject every retry. The
/// caller is answered once they have been released; a member that the release does not reach
/// becomes free when its reservation expires.
void GroupFormation::releaseMembers(const std::shared_ptr<Pending> &pending)
{
    std::vector<std::string> reserved;
    for (const MemberRecord &member : pending->list.members) {
        if (member.instance != this->instance && member.replica != ReplicaId::None)
            reserved.push_back(member.address);
    }
    pending->awaited = reserved.size();
    if (reserved.empty())
        pending->done(pending->outcome.error());
    for (const std::string &address : reserved) {
        this->hooks.identify(address, IdentifyRequest{0, pending->list.formation},
                             [pending](const Result<IdentityReply> &) {
                                 if (--pending->awaited == 0)
                                     pending->done(pending->outcome.error());
                             });
    }
}

} // namespace guavavalve
