#include "replicas/inmemorylog.h"

#include <algorithm>
#include <utility>

namespace guavavalve {

InMemoryLog::InMemoryLog(StateMachine &machine, InstanceId instance, std::string address)
    : stateMachine(machine)
{
    this->state.role = ReplicaRole::Leader;
    this->state.formed = true;
    this->state.term = 1;
    this->state.leader = instance;
    this->state.leaderAddress = address;
    this->state.members.push_back({std::move(instance), std::move(address), true, 0});
}

void InMemoryLog::setLeading(bool value)
{
    const std::lock_guard lock(this->mutex);
    this->state.role = value ? ReplicaRole::Leader : ReplicaRole::Follower;
}

void InMemoryLog::propose(std::string command, Done<std::string> done)
{
    std::string outcome;
    bool applied = false;
    {
        const std::lock_guard lock(this->mutex);
        if (this->state.role == ReplicaRole::Leader) {
            const LogIndex index = ++this->state.committed;
            outcome = this->stateMachine.apply(index, command);
            this->state.applied = index;
            applied = true;
        }
    }
    if (applied)
        done(std::move(outcome));
    else
        done(failure(ErrorCode::NotLeader, "this replica is not the leader"));
}

ReplicaStatus InMemoryLog::status() const
{
    const std::lock_guard lock(this->mutex);
    return this->state;
}

bool InMemoryLog::holdsLeaderLease() const
{
    const std::lock_guard lock(this->mutex);
    return this->state.role == ReplicaRole::Leader;
}

void InMemoryLog::form(std::vector<ReplicaMember> /*members*/, Done<Nothing> done)
{
    done(failure(ErrorCode::Conflict, "the group is already formed"));
}

void InMemoryLog::addMember(ReplicaMember member, Done<Nothing> done)
{
    {
        const std::lock_guard lock(this->mutex);
        this->state.members.push_back(std::move(member));
    }
    done(Nothing{});
}

void InMemoryLog::removeMember(InstanceId instance, Done<Nothing> done)
{
    {
        const std::lock_guard lock(this->mutex);
        auto &members = this->state.members;
        members.erase(std::remove_if(members.begin(), members.end(),
                                     [&](const auto &m) { return m.instance == instance; }),
                      members.end());
    }
    done(Nothing{});
}

void InMemoryLog::transferLeadership(Done<Nothing> done)
{
    done(failure(ErrorCode::Unavailable, "the group has no other replica"));
}

} // namespace guavavalve
