#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "core/ids.h"
#include "replicas/statemachine.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// What a replica is in its group at the moment.
enum class ReplicaRole : std::uint8_t { Learner, Follower, Candidate, Leader };

inline constexpr EnumNames<ReplicaRole, 4> replicaRoleNames{{
    {ReplicaRole::Learner, "learner"},
    {ReplicaRole::Follower, "follower"},
    {ReplicaRole::Candidate, "candidate"},
    {ReplicaRole::Leader, "leader"},
}};

/// One member of a replica group, as the leader sees it.
struct ReplicaMember
{
    InstanceId instance;
    std::string address; ///< "ip:port" of its messenger
    bool voter = false;
    LogIndex matchIndex = 0; ///< known to be synced there; only the leader knows

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->address, this->voter, this->matchIndex);
    }
};

/// A replica's own view of its group.
struct ReplicaStatus
{
    ReplicaRole role = ReplicaRole::Follower;
    bool formed = false; ///< false until the group's first formation or join has reached it
    std::uint64_t term = 0;
    InstanceId leader; ///< empty: unknown
    std::string leaderAddress; ///< empty: unknown
    LogIndex committed = 0;
    LogIndex applied = 0;
    std::vector<ReplicaMember> members;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->role, this->formed, this->term, this->leader, this->leaderAddress,
                this->committed, this->applied, this->members);
    }
};

/// One group's replicated log, as the controller uses it.
class ReplicatedLog
{
public:
    virtual ~ReplicatedLog() = default;

    /// Replicates \a command and, when it has been committed by a quorum and applied here, hands
    /// over what StateMachine::apply() returned. Commands proposed together share one sync.
    /// \errors NotLeader, at once and truly not proposed; Unavailable with Ran::Unknown when
    /// leadership was lost while the command was under way: it may yet be committed.
    virtual void propose(std::string command, Done<std::string> done) = 0;

    virtual ReplicaStatus status() const = 0;

    /// True while no other replica can lead: a quorum has answered within the leader's lease, by
    /// the monotonic clock read now. Reads served under it are current.
    virtual bool holdsLeaderLease() const = 0;

    /// Forms the group, once, from an operator's explicit command.
    /// \errors Conflict if the group has been formed already.
    virtual void form(std::vector<ReplicaMember> members, Done<Nothing> done) = 0;

    /// Adds \a member as a learner, and makes it a voter once it has synced everything.
    virtual void addMember(ReplicaMember member, Done<Nothing> done) = 0;

    virtual void removeMember(InstanceId instance, Done<Nothing> done) = 0;

    /// Hands leadership to the most caught-up follower, as before a shutdown.
    virtual void transferLeadership(Done<Nothing> done) = 0;
};

} // namespace guavavalve
