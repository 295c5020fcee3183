#pragma once

#include "replicas/replicatedlog.h"
#include "replicas/statemachine.h"

#include <mutex>

namespace guavavalve {

/// A log of one replica without storage: applies each command immediately, on the caller's
/// thread. For tests of components that use a replicated log.
class InMemoryLog : public ReplicatedLog
{
public:
    explicit InMemoryLog(StateMachine &stateMachine, InstanceId instance = "single",
                         std::string address = "127.0.0.1:0");

    /// While \a value is false, propose() fails with NotLeader and the lease is not held.
    void setLeading(bool value);

    void propose(std::string command, Done<std::string> done) override;
    ReplicaStatus status() const override;
    bool holdsLeaderLease() const override;
    void form(std::vector<ReplicaMember> members, Done<Nothing> done) override;
    void addMember(ReplicaMember member, Done<Nothing> done) override;
    void removeMember(InstanceId instance, Done<Nothing> done) override;
    void transferLeadership(Done<Nothing> done) override;

private:
    StateMachine &stateMachine;
    mutable std::mutex mutex;
    ReplicaStatus state;
};

} // namespace guavavalve
