#include "replicas/raftdriver.h"

#include "core/codec.h"

#include <algorithm>
#include <utility>

// Formation and membership as operators ask for them.

namespace guavavalve::internal {

namespace {

constexpr Milliseconds identifyLimit{1000};
/// Longer than any formation takes; a formation that broke off frees its members after this.
constexpr Milliseconds reservationTime{10000};

} // namespace

/// A formation that waits for the other members to say who they are.
struct RaftDriver::Forming
{
    MemberList list;
    std::size_t awaited = 0;
    Result<void> outcome = boost::outcome_v2::success();
    Done<Nothing> done;
};

void RaftDriver::identify(const std::string &address, const IdentifyRequest &request,
                          const std::function<void(Result<IdentityReply>)> &done)
{
    RaftMessage message;
    message.group = this->options.group;
    message.formation = this->core->formation();
    message.from = this->core->self();
    message.body = request;
    const Instant deadline = this->options.clock() + identifyLimit;
    auto answered = [weak = this->weak_from_this(), done](Result<std::string> reply) {
        const auto self = weak.lock();
        if (!self)
            return;
        Result<IdentityReply> found = failure(ErrorCode::Corrupt, "not a replica's answer");
        if (!reply) {
            found = reply.error();
        } else if (auto decoded = decode<RaftMessage>(reply.value())) {
            if (const auto *identity = std::get_if<IdentityReply>(&decoded.value().body))
                found = *identity;
        }
        self->post([done, found] { done(found); }, Urgency::Kept);
    };
    this->router.messenger().call(address, Method::AppendEntries, encode(message), deadline,
                                  std::move(answered));
}

void RaftDriver::onIdentifyRequest(const RaftMessage &message, const IdentifyRequest &request,
                                   const Done<std::string> &reply)
{
    const Instant now = this->options.clock();
    if (request.release != 0 && request.release == this->reservedFor)
        this->reservedFor = 0;
    const bool isFree = this->reservedFor == 0 || now >= this->reservedUntil;
    if (request.reserveFor != 0 && !this->core->isFormed() && isFree) {
        this->reservedFor = request.reserveFor;
        this->reservedUntil = now + reservationTime;
    }
    RaftMessage answer;
    answer.group = this->options.group;
    answer.formation = this->core->formation();
    answer.from = this->core->self();
    answer.to = message.from;
    answer.term = this->core->term();
    answer.body = IdentityReply{this->options.instance, this->core->self(), this->core->formation(),
                                this->reservedFor};
    reply(encode(answer));
}

void RaftDriver::form(std::vector<ReplicaMember> members, const Done<Nothing> &done)
{
    auto forming = std::make_shared<Forming>();
    forming->done = done;
    const bool isPosted = this->post([this, forming, members = std::move(members)] {
        if (this->core->isFormed()) {
            forming->done(failure(ErrorCode::Conflict, "the group has been formed already"));
            return;
        }
        const Instant now = this->options.clock();
        if (this->reservedFor != 0 && now < this->reservedUntil) {
            forming->done(failure(ErrorCode::Conflict, "another formation is under way here"));
            return;
        }
        do {
            forming->list.formation = this->options.random();
        } while (forming->list.formation == 0);
        this->reservedFor = forming->list.formation;
        this->reservedUntil = now + reservationTime;
        std::vector<std::pair<std::size_t, std::string>> others;
        for (const ReplicaMember &member : members) {
            const bool isSelf = member.instance == this->options.instance;
            const ReplicaId replica = isSelf ? this->core->self() : ReplicaId::None;
            if (!isSelf)
                others.emplace_back(forming->list.members.size(), member.address);
            forming->list.members.push_back({member.instance, replica, member.address, true});
        }
        forming->awaited = others.size();
        for (const auto &[position, address] : others) {
            this->identify(address, IdentifyRequest{forming->list.formation, 0},
                           [this, forming, at = position](const Result<IdentityReply> &found) {
                               this->onFormingMember(forming, at, found);
                           });
        }
        if (others.empty())
            this->formWhenIdentified(forming);
    });
    if (!isPosted)
        done(failure(ErrorCode::Unavailable, "this replica is not running"));
}

/// Every member must answer, be unformed, and keep itself for this formation: two operators who
/// form overlapping groups at the same time cannot both succeed.
void RaftDriver::onFormingMember(const std::shared_ptr<Forming> &forming, std::size_t position,
                                 const Result<IdentityReply> &found)
{
    MemberRecord &member = forming->list.members[position];
    if (!found) {
        forming->outcome = failure(ErrorCode::Unavailable,
                                   member.instance + " at " + member.address
                                       + " does not answer: " + found.error().message);
    } else if (found.value().instance != member.instance) {
        forming->outcome = failure(ErrorCode::InvalidArgument,
                                   "at " + member.address + " there is " + found.value().instance
                                       + ", not " + member.instance);
    } else if (found.value().formation != 0) {
        forming->outcome =
            failure(ErrorCode::Conflict, member.instance + " belongs to a formed group already");
    } else if (found.value().reservedFor != forming->list.formation) {
        forming->outcome =
            failure(ErrorCode::Conflict, "another formation is under way at " + member.instance);
    } else {
        member.replica = found.value().replica;
    }
    if (--forming->awaited == 0)
        this->formWhenIdentified(forming);
}

void RaftDriver::formWhenIdentified(const std::shared_ptr<Forming> &forming)
{
    if (!forming->outcome) {
        this->reservedFor = 0;
        this->releaseMembers(forming);
        return;
    }
    auto index = this->core->form(forming->list, this->options.clock());
    if (!index) {
        forming->done(index.error());
        return;
    }
    this->waiting.emplace(index.value(),
                          Waiting{this->core->term(), [forming](Result<std::string> outcome) {
                                      if (outcome)
                                          forming->done(Nothing{});
                                      else
                                          forming->done(outcome.error());
                                  }});
}

/// Guards against members that go on keeping themselves for a formation that has failed, which
/// shows as every retry being refused. Whoever asked is answered once they are free; a member
/// that does not hear of it is free when its reservation runs out.
void RaftDriver::releaseMembers(const std::shared_ptr<Forming> &forming)
{
    std::vector<std::string> reserved;
    for (const MemberRecord &member : forming->list.members) {
        if (member.instance != this->options.instance && member.replica != ReplicaId::None)
            reserved.push_back(member.address);
    }
    forming->awaited = reserved.size();
    if (reserved.empty())
        forming->done(forming->outcome.error());
    for (const std::string &address : reserved) {
        this->identify(address, IdentifyRequest{0, forming->list.formation},
                       [forming](const Result<IdentityReply> &) {
                           if (--forming->awaited == 0)
                               forming->done(forming->outcome.error());
                       });
    }
}

void RaftDriver::addMember(ReplicaMember member, const Done<Nothing> &done)
{
    const bool isPosted = this->post([this, member = std::move(member), done] {
        if (this->core->role() != ReplicaRole::Leader) {
            done(failure(ErrorCode::NotLeader, "this replica does not lead its group"));
            return;
        }
        this->identify(member.address, IdentifyRequest(),
                       [this, member, done](Result<IdentityReply> found) {
                           if (found)
                               this->join(member, found.value(), ReplicaId::None, done);
                           else
                               done(found.error());
                       });
    });
    if (!isPosted)
        done(failure(ErrorCode::Unavailable, "this replica is not running"));
}

void RaftDriver::join(const ReplicaMember &member, const IdentityReply &found, ReplicaId replaces,
                      Done<Nothing> done)
{
    if (found.instance != member.instance) {
        done(failure(ErrorCode::InvalidArgument,
                     "at " + member.address + " there is " + found.instance + ", not "
                         + member.instance));
        return;
    }
    if (found.formation != 0 && found.formation != this->core->formation()) {
        done(failure(ErrorCode::Conflict, member.instance + " belongs to another group"));
        return;
    }
    auto index =
        this->core->addLearner({member.instance, found.replica, member.address, false, replaces});
    if (index)
        this->joining.push_back({found.replica, std::move(done)});
    else
        done(index.error());
}

void RaftDriver::removeMember(InstanceId instance, const Done<Nothing> &done)
{
    const bool isPosted = this->post([this, instance = std::move(instance), done] {
        auto index = this->core->removeInstance(instance);
        if (!index) {
            done(index.error());
            return;
        }
        this->waiting.emplace(index.value(),
                              Waiting{this->core->term(), [done](Result<std::string> outcome) {
                                          if (outcome)
                                              done(Nothing{});
                                          else
                                              done(outcome.error());
                                      }});
    });
    if (!isPosted)
        done(failure(ErrorCode::Unavailable, "this replica is not running"));
}

void RaftDriver::transferLeadership(const Done<Nothing> &done)
{
    const bool isPosted = this->post([this, done] {
        auto begun = this->core->transferLeadership(this->options.clock());
        if (begun)
            this->transferring.push_back(done);
        else
            done(begun.error());
    });
    if (!isPosted)
        done(failure(ErrorCode::Unavailable, "this replica is not running"));
}

void RaftDriver::settleMembers()
{
    auto settled =
        std::partition(this->joining.begin(), this->joining.end(), [&](const Joining &joiner) {
            const MemberList &now = this->core->members();
            return now.find(joiner.replica) != nullptr
                && !this->core->committedMembers().isVoter(joiner.replica);
        });
    std::vector<Joining> over(std::make_move_iterator(settled),
                              std::make_move_iterator(this->joining.end()));
    this->joining.erase(settled, this->joining.end());
    for (const Joining &joiner : over) {
        if (this->core->committedMembers().isVoter(joiner.replica))
            joiner.done(Nothing{});
        else
            joiner.done(failure(ErrorCode::Conflict, "it was removed again meanwhile"));
    }
    if (this->core->isTransferring() || this->core->role() != ReplicaRole::Leader)
        return;
    for (const Done<Nothing> &done : std::exchange(this->transferring, {}))
        done(failure(ErrorCode::Unavailable, "the successor did not take over in time"));
}

/// Guards against a group that stays one loss away from standing still: a voter that is gone for
/// good would count against every quorum until an operator looked. A spare joins as a learner;
/// once it has synced everything the lost one goes and the spare becomes a voter.
void RaftDriver::replaceGoneVoter()
{
    const Instant now = this->options.clock();
    const bool isConfigured =
        this->options.goneAfter > Milliseconds(0) && this->options.spares != nullptr;
    if (!isConfigured || this->ledTerm == 0 || now < this->nextReplacement)
        return;
    this->nextReplacement = now + 2 * identifyLimit;
    const auto gone = this->core->findUnresponsiveVoter(this->options.goneAfter);
    if (!gone)
        return;
    std::vector<ReplicaMember> candidates;
    for (ReplicaMember &spare : this->options.spares()) {
        const auto &members = this->core->members().members;
        const bool isMember = std::any_of(members.begin(), members.end(), [&](const auto &m) {
            return m.instance == spare.instance;
        });
        if (!isMember)
            candidates.push_back(std::move(spare));
    }
    if (candidates.empty())
        return;
    const ReplicaMember spare = candidates[this->sparesTried++ % candidates.size()];
    this->identify(spare.address, IdentifyRequest(),
                   [this, spare, replaces = gone->replica](const Result<IdentityReply> &found) {
                       if (found)
                           this->join(spare, found.value(), replaces,
                                      [](const Result<Nothing> &) {});
                   });
}

} // namespace guavavalve::internal
