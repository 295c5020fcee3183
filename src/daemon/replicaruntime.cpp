#include "daemon/replicaruntime.h"

#include "controller/controllerservice.h"
#include "controller/operatorwiring.h"
#include "decisions/decisions.h"

#include <chrono>
#include <future>
#include <utility>

namespace guavavalve {

namespace {

std::int64_t calendarMs()
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

ControllerOptions controllerOptions(const DaemonSettings &settings, ReplicaPart::Hooks hooks)
{
    ControllerOptions options;
    options.cellTime = calendarMs;
    options.makeScheduler = [] { return std::make_unique<FairScheduler>(); };
    options.sendOrders = std::move(hooks.sendOrders);
    options.observeWait = std::move(hooks.observeWait);
    options.configurationLease = Milliseconds(settings.configurationLeaseMs);
    options.maxFinishedJobs = static_cast<std::size_t>(settings.maxFinishedJobs);
    options.finishedRetention = Milliseconds(settings.finishedJobsKeptMs);
    return options;
}

} // namespace

ReplicaPart::ReplicaPart(Messenger &messenger)
    : router(messenger)
{}

ReplicaPart::~ReplicaPart()
{
    this->stop();
}

Result<std::unique_ptr<ReplicaPart>> ReplicaPart::open(const DaemonSettings &settings,
                                                       const std::string &clusterSecret,
                                                       Messenger &messenger, Hooks hooks)
{
    std::unique_ptr<ReplicaPart> part(new ReplicaPart(messenger));
    RaftOptions options = raftOptions(settings);
    options.onLeadership = [raw = part.get()](bool leads, std::uint64_t) {
        raw->leadershipChanged(leads);
    };
    options.spares = [raw = part.get()] { return raw->spares(); };
    auto node = openRaftNode(std::move(options), part->router, part->machine);
    if (!node)
        return node.error();
    part->node = std::move(node).value();
    part->cell = std::make_unique<CellController>(controllerOptions(settings, std::move(hooks)),
                                                  *part->node, part->machine);
    part->operators = std::make_unique<OperatorService>(
        operatorHooks(*part->cell, part->machine, *part->node, clusterSecret));
    serveController(messenger, *part->cell, *part->operators);
    part->cell->start();

    const std::lock_guard lock(part->mutex);
    part->ready = true;
    if (part->leads)
        part->cell->leadershipChanged(true);
    return part;
}

void ReplicaPart::leadershipChanged(bool nowLeads)
{
    const std::lock_guard lock(this->mutex);
    this->leads = nowLeads;
    if (this->ready)
        this->cell->leadershipChanged(nowLeads);
}

std::vector<ReplicaMember> ReplicaPart::spares()
{
    const std::lock_guard lock(this->mutex);
    std::vector<ReplicaMember> found;
    if (!this->ready)
        return found;
    // Only instances that the controller hears from; the log leaves out its own members.
    for (const EntryInfo &entry : this->cell->entries()) {
        if (entry.holdsReplica && !entry.address.empty())
            found.push_back({entry.instance, entry.address});
    }
    return found;
}

void ReplicaPart::handOver(Instant deadline)
{
    if (this->node->status().role != ReplicaRole::Leader)
        return;
    auto handed = std::make_shared<std::promise<void>>();
    this->node->transferLeadership([handed](const Result<Nothing> &) { handed->set_value(); });
    handed->get_future().wait_for(untilDeadline(deadline));
}

void ReplicaPart::stop()
{
    if (this->node)
        this->node->stop();
    if (this->cell)
        this->cell->stop();
}

} // namespace guavavalve
