#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "replicas/raftoptions.h"
#include "replicas/replicatedlog.h"
#include "replicas/statemachine.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace guavavalve {

class GroupRouter;
class Storage;

namespace internal {
class RaftDriver;
}

/// One replica of one group: connects RaftCore to a journal, the messenger, a clock and a state
/// machine. Runs two threads, one for the log and one that applies committed entries, and one that
/// reopens the storage.
///
/// Guards against a process that ends at each failed write of a failing disk: the replica instead
/// leaves the group, as if it had crashed, and recovers from its files once they can be written.
class RaftNode : public ReplicatedLog
{
public:
    enum class Opening : std::uint8_t {
        Start,
        AfterFailure, ///< what the storage wrote last may not be on the disk
    };
    using OpenStorage = std::function<Result<std::unique_ptr<Storage>>(Opening)>;

    /// A replica that does not reopen its storage.
    RaftNode(RaftOptions options, std::unique_ptr<Storage> storage, GroupRouter &router,
             StateMachine &stateMachine);
    /// \a stateMachine must have its initial state.
    RaftNode(RaftOptions options, OpenStorage openStorage, GroupRouter &router,
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
    std::shared_ptr<internal::RaftDriver> currentDriver() const;
    Result<std::shared_ptr<internal::RaftDriver>> startDriver(Opening opening);
    void runReopener();
    void stopFailedDriver();
    void reportDisk(const std::optional<Error> &failure) const;

    RaftOptions options;
    OpenStorage openStorage; ///< empty: the storage is not reopened
    GroupRouter *router = nullptr;
    StateMachine *stateMachine = nullptr;
    std::string initialState;

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::shared_ptr<internal::RaftDriver> driver; ///< null while the storage is reopened
    ReplicaStatus lastStatus; ///< before the storage failed
    std::optional<Error> diskFailure; ///< not yet handled
    bool stopping = false;
    std::thread reopener;
};

/// Opens the group's journal under options.dataFolder and starts a replica on it. May be called
/// before or after the messenger starts; \a router must outlive the node.
Result<std::unique_ptr<RaftNode>> openRaftNode(RaftOptions options, GroupRouter &router,
                                               StateMachine &stateMachine);

} // namespace guavavalve
