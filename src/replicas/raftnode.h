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

/// One replica of one group: connects RaftCore to a journal, the messenger, a clock and a state
/// machine. Runs two threads, one for the log and one that applies committed entries.
class RaftNode : public ReplicatedLog
{
public:
    RaftNode(RaftOptions options, std::unique_ptr<Storage> storage, GroupRouter &router,
             StateMachine &stateMachine);
    /// Stops the replica. Pending proposals fail with Unavailable and Ran::Unknown.
    ~RaftNode() override;
    RaftNode(const RaftNode &) = delete;
    RaftNode &operator=(const RaftNode &) = delete;

    /// Recovers the storage, restores the state and starts the threads.
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

/// Opens the group's journal under options.dataFolder and starts a replica on it. May be called
/// before or after the messenger starts; \a router must outlive the node.
Result<std::unique_ptr<RaftNode>> openRaftNode(RaftOptions options, GroupRouter &router,
                                               StateMachine &stateMachine);

} // namespace guavavalve
