#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "core/ids.h"
#include "replicas/statemachine.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// The current role of a replica in its group.
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
    /// Highest index that this member is known to have synced. Only the leader knows it for other
    /// members; it is zero if unknown.
    LogIndex matchIndex = 0;

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
    bool formed = false; ///< false until this replica has been formed into or added to a group
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

/// One group's replicated log, as used by the controller.
class ReplicatedLog
{
public:
    virtual ~ReplicatedLog() = default;

    /// Replicates \a command. Once a quorum has committed it and it is applied here, \a done
    /// receives the result of StateMachine::apply(). Commands proposed together share one sync.
    /// \errors NotLeader, immediately, with the command guaranteed not to be proposed; Unavailable
    /// with Ran::Unknown when leadership was lost before the command was known to be committed: it
    /// may still be committed.
    virtual void propose(std::string command, Done<std::string> done) = 0;

    virtual ReplicaStatus status() const = 0;

    /// True while no other replica can lead: according to the monotonic clock, read during this
    /// call, a quorum has answered within the leader's lease. Reads served under it are current.
    virtual bool holdsLeaderLease() const = 0;

    /// Forms the group with \a members, once and only by this explicit call.
    /// \errors Conflict if the group is already formed.
    virtual void form(std::vector<ReplicaMember> members, Done<Nothing> done) = 0;

    /// Adds \a member as a learner, and promotes it to a voter once it has synced the whole log.
    virtual void addMember(ReplicaMember member, Done<Nothing> done) = 0;

    virtual void removeMember(InstanceId instance, Done<Nothing> done) = 0;

    /// Transfers leadership to the follower with the highest match index, for example before a
    /// shutdown.
    virtual void transferLeadership(Done<Nothing> done) = 0;
};

} // namespace guavavalve
