#include "replicas/raftdriver.h"

#include "core/codec.h"

#include <algorithm>
#include <utility>

// Formation of the group and changes of its membership.

namespace guavavalve::internal {

namespace {

constexpr Milliseconds identifyTimeout{1000};
/// Between two attempts to admit a spare: it may have ended, or another change of the members may
/// be in progress.
constexpr Milliseconds admissionInterval{200};

} // namespace

void RaftDriver::identify(const std::string &address, const IdentifyRequest &request,
                          const std::function<void(Result<IdentityReply>)> &done)
{
    RaftMessage message;
    message.group = this->options.group;
    message.formation = this->core->formation();
    message.from = this->core->self();
    message.body = request;
    const Instant deadline = this->options.clock() + identifyTimeout;
    auto answered = [weak = this->weak_from_this(), done](Result<std::string> reply) {
        const auto self = weak.lock();
        if (!self)
            return;
        Result<IdentityReply> outcome =
            failure(ErrorCode::Corrupt, "the reply does not identify a replica");
        if (!reply) {
            outcome = reply.error();
        } else if (auto decoded = decode<RaftMessage>(reply.value())) {
            if (const auto *identity = std::get_if<IdentityReply>(&decoded.value().body))
                outcome = *identity;
        }
        self->post([done, outcome] { done(outcome); }, OverflowPolicy::Accept);
    };
    this->router.messenger().call(address, Method::AppendEntries, encode(message), deadline,
                                  std::move(answered));
}

void RaftDriver::onIdentifyRequest(const RaftMessage &message, const IdentifyRequest &request,
                                   const Done<std::string> &reply)
{
    RaftMessage answer;
    answer.group = this->options.group;
    answer.formation = this->core->formation();
    answer.from = this->core->self();
    answer.to = message.from;
    answer.term = this->core->term();
    answer.body = this->formation->onIdentifyRequest(request);
    reply(encode(answer));
}

FormationHooks RaftDriver::formationHooks()
{
    FormationHooks hooks;
    hooks.identify = [this](const std::string &address, const IdentifyRequest &request,
                            const std::function<void(Result<IdentityReply>)> &done) {
        this->identify(address, request, done);
    };
    hooks.onFirstEntry = [this](LogIndex index, const Done<Nothing> &done) {
        this->pendingProposals.emplace(
            index, PendingProposal{this->core->term(), [done](Result<std::string> outcome) {
                                       if (outcome)
                                           done(Nothing{});
                                       else
                                           done(outcome.error());
                                   }});
    };
    return hooks;
}

void RaftDriver::form(std::vector<ReplicaMember> members, const Done<Nothing> &done)
{
    const bool isPosted = this->post(
        [this, members = std::move(members), done] { this->formation->form(members, done); });
    if (!isPosted)
        done(failure(ErrorCode::Unavailable, "this replica is not running"));
}

void RaftDriver::addMember(ReplicaMember member, const Done<Nothing> &done)
{
    const bool isPosted = this->post([this, member = std::move(member), done] {
        if (this->core->role() != ReplicaRole::Leader) {
            done(failure(ErrorCode::NotLeader, "this replica does not lead its group"));
            return;
        }
        this->identify(member.address, IdentifyRequest(),
                       [this, member, done](Result<IdentityReply> identity) {
                           if (identity)
                               this->join(member, identity.value(), ReplicaId::None, done);
                           else
                               done(identity.error());
                       });
    });
    if (!isPosted)
        done(failure(ErrorCode::Unavailable, "this replica is not running"));
}

void RaftDriver::join(const ReplicaMember &member, const IdentityReply &identity,
                      ReplicaId replaces, Done<Nothing> done)
{
    if (identity.instance != member.instance) {
        done(failure(ErrorCode::InvalidArgument,
                     "the instance at " + member.address + " is " + identity.instance + ", not "
                         + member.instance));
        return;
    }
    if (identity.formation != 0 && identity.formation != this->core->formation()) {
        done(failure(ErrorCode::Conflict, member.instance + " belongs to another group"));
        return;
    }
    auto index = this->core->addLearner(
        {member.instance, identity.replica, member.address, false, replaces});
    if (index)
        this->pendingJoins.push_back({identity.replica, std::move(done)});
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
        this->pendingProposals.emplace(
            index.value(), PendingProposal{this->core->term(), [done](Result<std::string> outcome) {
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
            this->pendingTransfers.push_back(done);
        else
            done(begun.error());
    });
    if (!isPosted)
        done(failure(ErrorCode::Unavailable, "this replica is not running"));
}

void RaftDriver::completeMembershipChanges()
{
    auto firstCompleted = std::partition(
        this->pendingJoins.begin(), this->pendingJoins.end(), [&](const PendingJoin &joiner) {
            const MemberList &now = this->core->members();
            return now.find(joiner.replica) != nullptr
                && !this->core->committedMembers().isVoter(joiner.replica);
        });
    std::vector<PendingJoin> completed(std::make_move_iterator(firstCompleted),
                                       std::make_move_iterator(this->pendingJoins.end()));
    this->pendingJoins.erase(firstCompleted, this->pendingJoins.end());
    for (const PendingJoin &joiner : completed) {
        if (this->core->committedMembers().isVoter(joiner.replica))
            joiner.done(Nothing{});
        else
            joiner.done(
                failure(ErrorCode::Conflict, "the member was removed before it became a voter"));
    }
    if (this->core->isTransferring() || this->core->role() != ReplicaRole::Leader)
        return;
    for (const Done<Nothing> &done : std::exchange(this->pendingTransfers, {}))
        done(failure(ErrorCode::Unavailable, "no other replica took over leadership in time"));
}

/// Admits a spare for a voter that may be gone for good, which would otherwise count against every
/// quorum, and could leave the group one loss away from unavailability, until an operator
/// intervened. The spare joins as a learner while it is still open whether the voter returns, so
/// that it has synced the whole log by the time at which it takes that voter's place
/// (RaftCore::promoteLearner()).
void RaftDriver::admitSpare()
{
    const Instant now = this->options.clock();
    const bool isConfigured =
        this->options.goneAfter > Milliseconds(0) && this->options.spares != nullptr;
    if (!isConfigured || this->ledTerm == 0 || now < this->nextReplacement)
        return;
    this->nextReplacement = now + admissionInterval;
    const auto gone = this->core->findUnresponsiveVoter(this->options.goneAfter / 2);
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
                   [this, spare, replaces = gone->replica](const Result<IdentityReply> &identity) {
                       if (identity)
                           this->join(spare, identity.value(), replaces,
                                      [](const Result<Nothing> &) {});
                   });
}

} // namespace guavavalve::internal
