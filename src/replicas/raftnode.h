#pragma once

#include "core/error.h"
#include "replicas/raftoptions.h"
#include "replicas/replicatedlog.h"
#include "replicas/statemachine.h"

#include <memory>

namespace guavavalve {

class GroupRouter;
class Storage;

namespace internal {
class RaftDriver;
}

/// One replica of one group: drives RaftCore with a journal, the messenger, a clock and a state
/// machine, on two threads of its own (one for the log, one that applies).
class RaftNode : public ReplicatedLog
{
public:
    RaftNode(RaftOptions options, std::unique_ptr<Storage> storage, GroupRouter &router,
             StateMachine &stateMachine);
    /// Stops the replica. Proposals under way end with Unavailable and Ran::Unknown.
    ~RaftNode() override;
    RaftNode(const RaftNode &) = delete;
    RaftNode &operator=(const RaftNode &) = delete;

    /// Reads the storage back, restores the state and starts the threads.
    /// \errors those of Storage::recover() and StateMachine::restoreSnapshot().
    Result<void> start();
    void stop();

    void propose(std::string command, Done<std::string> done) override;
    ReplicaStatus status() const override;
    bool holdsLeaderLease() const override;
    void form(std::vector<ReplicaMember> members, Done<Nothing> done) override;
    void addMember(ReplicaMember member, Done<Nothing> done) override;
    void removeMember(InstanceId instance, Done<Nothing> done) override;
    void transferLeadership(Done<Nothing> done) override;

private:
    std::shared_ptr<internal::RaftDriver> driver;
};

/// Opens the group's journal under options.dataFolder and starts a replica on it. Called before
/// the messenger starts, or after; \a router must outlive the node.
Result<std::unique_ptr<RaftNode>> openRaftNode(RaftOptions options, GroupRouter &router,
                                               StateMachine &stateMachine);

} // namespace guavavalve
