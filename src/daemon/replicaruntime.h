#pragma once

#include "controller/cellcontroller.h"
#include "controller/clusterstatemachine.h"
#include "controller/operatorservice.h"
#include "replicas/grouprouter.h"
#include "replicas/raftnode.h"
#include "settings/daemonsettings.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace guavavalve {

class Messenger;

/// The replica of an instance that has a data folder: a member of the replicated log, and the
/// controller, which is active while this replica leads.
class ReplicaRuntime
{
public:
    struct Hooks
    {
        std::function<void(const std::string &address, std::vector<DispatchOrder>, Done<Nothing>)>
            sendOrders;
        std::function<void(const std::string &team, std::uint8_t workClass, double waitedSeconds)>
            observeWait;
    };

    /// Opens the data folder and registers the RPC handlers with \a messenger, which must be
    /// started afterwards and must outlive this object.
    ///
    /// \errors those of openRaftNode().
    static Result<std::unique_ptr<ReplicaRuntime>> open(const DaemonSettings &settings,
                                                        const std::string &clusterSecret,
                                                        Messenger &messenger, Hooks hooks);
    ~ReplicaRuntime();
    ReplicaRuntime(const ReplicaRuntime &) = delete;
    ReplicaRuntime &operator=(const ReplicaRuntime &) = delete;

    ReplicatedLog &log() { return *this->node; }
    CellController &controller() { return *this->cell; }
    const ClusterStateMachine &state() const { return this->machine; }

    /// Transfers leadership to another replica if this one leads; waits until \a deadline at most.
    void transferLeadership(Instant deadline);
    void stop();

private:
    explicit ReplicaRuntime(Messenger &messenger);

    void leadershipChanged(bool leads);
    /// The instances that could replace a lost replica.
    std::vector<ReplicaMember> spares();

    ClusterStateMachine machine;
    GroupRouter router;
    std::unique_ptr<RaftNode> node;
    std::unique_ptr<CellController> cell;
    std::unique_ptr<OperatorService> operators;
    std::mutex mutex;
    bool leads = false; ///< as last reported by the log, possibly before the controller exists
    bool ready = false; ///< the controller exists and has been started
};

} // namespace guavavalve
