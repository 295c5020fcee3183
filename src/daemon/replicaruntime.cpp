#include "daemon/replicaruntime.h"

#include "controller/controllerservice.h"
#include "controller/operatorwiring.h"
#include "decisions/decisions.h"

#include <chrono>
#include <future>
#include <utility>

namespace guavavalve {

namespace {

std::int64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(now).count();
}

RaftOptions raftOptions(const DaemonSettings &settings)
{
    RaftOptions options;
    options.instance = settings.instance;
    options.address = settings.messengerAdvertise;
    options.clusterId = settings.clusterId;
    options.dataFolder = settings.dataFolder;
    options.heartbeat = Milliseconds(settings.heartbeatMs);
    options.electionMin = Milliseconds(settings.electionTimeoutMs);
    options.electionMax = Milliseconds(2 * settings.electionTimeoutMs);
    options.goneAfter = Milliseconds(settings.replicaGoneAfterMs);
    options.snapshotAfterEntries = static_cast<std::size_t>(settings.snapshotEntries);
    return options;
}

ControllerOptions controllerOptions(const DaemonSettings &settings, ReplicaRuntime::Hooks hooks)
{
    ControllerOptions options;
    options.cellTime = wallClockMs;
    options.makeScheduler = [] { return std::make_unique<FairScheduler>(); };
    options.sendOrders = std::move(hooks.sendOrders);
    options.observeWait = std::move(hooks.observeWait);
    options.configurationLease = Milliseconds(settings.configurationLeaseMs);
    options.maxFinishedJobs = static_cast<std::size_t>(settings.maxFinishedJobs);
    options.finishedRetention = Milliseconds(settings.finishedJobsKeptMs);
    return options;
}

} // namespace

ReplicaRuntime::ReplicaRuntime(Messenger &messenger)
    : router(messenger)
{}

ReplicaRuntime::~ReplicaRuntime()
{
    this->stop();
}

Result<std::unique_ptr<ReplicaRuntime>> ReplicaRuntime::open(const DaemonSettings &settings,
                                                             const std::string &clusterSecret,
                                                             Messenger &messenger, Hooks hooks)
{
    std::unique_ptr<ReplicaRuntime> runtime(new ReplicaRuntime(messenger));
    RaftOptions options = raftOptions(settings);
    options.onLeadership = [raw = runtime.get()](bool leads, std::uint64_t) {
        raw->leadershipChanged(leads);
    };
    options.spares = [raw = runtime.get()] { return raw->spares(); };
    auto node = openRaftNode(std::move(options), runtime->router, runtime->machine);
    if (!node)
        return node.error();
    runtime->node = std::move(node).value();
    runtime->cell = std::make_unique<CellController>(controllerOptions(settings, std::move(hooks)),
                                                     *runtime->node, runtime->machine);
    runtime->operators = std::make_unique<OperatorService>(
        operatorHooks(*runtime->cell, runtime->machine, *runtime->node, clusterSecret));
    serveController(messenger, *runtime->cell, *runtime->operators);
    runtime->cell->start();

    const std::lock_guard lock(runtime->mutex);
    runtime->ready = true;
    if (runtime->leads)
        runtime->cell->leadershipChanged(true);
    return runtime;
}

void ReplicaRuntime::leadershipChanged(bool nowLeads)
{
    const std::lock_guard lock(this->mutex);
    this->leads = nowLeads;
    if (this->ready)
        this->cell->leadershipChanged(nowLeads);
}

std::vector<ReplicaMember> ReplicaRuntime::spares()
{
    const std::lock_guard lock(this->mutex);
    std::vector<ReplicaMember> candidates;
    if (!this->ready)
        return candidates;
    // Only instances that currently report to the controller. The log itself skips those that are
    // members already.
    for (const EntryInfo &entry : this->cell->entries()) {
        if (entry.holdsReplica && !entry.address.empty())
            candidates.push_back({entry.instance, entry.address});
    }
    return candidates;
}

void ReplicaRuntime::transferLeadership(Instant deadline)
{
    if (this->node->status().role != ReplicaRole::Leader)
        return;
    auto transferFinished = std::make_shared<std::promise<void>>();
    this->node->transferLeadership(
        [transferFinished](const Result<Nothing> &) { transferFinished->set_value(); });
    transferFinished->get_future().wait_for(untilDeadline(deadline));
}

void ReplicaRuntime::stop()
{
    if (this->node)
        this->node->stop();
    if (this->cell)
        this->cell->stop();
}

} // namespace guavavalve
