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

/// What an instance with a data folder has beside its entry: a replica of the log, and the
/// controller that works while the replica leads.
class ReplicaPart
{
public:
    struct Hooks
    {
        std::function<void(const std::string &address, std::vector<DispatchOrder>, Done<Nothing>)>
            sendOrders;
        std::function<void(const std::string &team, std::uint8_t workClass, double waitedSeconds)>
            observeWait;
    };

    /// Opens the data folder and registers the calls it serves with \a messenger, which is
    /// started afterwards and outlives this.
    /// \errors those of openRaftNode().
    static Result<std::unique_ptr<ReplicaPart>> open(const DaemonSettings &settings,
                                                     const std::string &clusterSecret,
                                                     Messenger &messenger, Hooks hooks);
    ~ReplicaPart();
    ReplicaPart(const ReplicaPart &) = delete;
    ReplicaPart &operator=(const ReplicaPart &) = delete;

    ReplicatedLog &log() { return *this->node; }
    CellController &controller() { return *this->cell; }
    const ClusterStateMachine &state() const { return this->machine; }

    /// Hands leadership over if this replica leads, waiting for it until \a deadline.
    void handOver(Instant deadline);
    void stop();

private:
    explicit ReplicaPart(Messenger &messenger);

    void leadershipChanged(bool leads);
    std::vector<ReplicaMember> spares();

    ClusterStateMachine machine;
    GroupRouter router;
    std::unique_ptr<RaftNode> node;
    std::unique_ptr<CellController> cell;
    std::unique_ptr<OperatorService> operators;
    std::mutex mutex;
    bool leads = false; ///< as last told; the controller may not have been made yet
    bool ready = false;
};

} // namespace guavavalve
