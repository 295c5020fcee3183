#include "controller/cellcontroller.h"

#include "controller/clusterstatemachine.h"
#include "replicas/replicatedlog.h"
#include "state/configurationchanges.h"

#include <utility>

namespace guavavalve {

void CellController::holdSync(HeldSync sync)
{
    const Instant now = this->options.clock();
    EntryInfo entry;
    entry.instance = sync.request.entry;
    entry.address = sync.request.address;
    entry.holdsReplica = sync.request.holdsReplica;
    entry.configurationVersion = sync.request.heldVersion;
    entry.deadAt = now + this->options.entryTimeout + Milliseconds(sync.request.waitMs);
    this->entryTable.recordHeartbeat(entry);
    this->syncs.push_back(std::move(sync));
    this->answerSyncs();
}

void CellController::answerSyncs()
{
    const Instant now = this->options.clock();
    const std::uint64_t version = this->state.read(
        [](const ClusterState &cluster) { return cluster.configuration().version(); });
    std::vector<HeldSync> remaining;
    std::vector<HeldSync> answered;
    for (HeldSync &sync : this->syncs) {
        const bool due = sync.deadline <= now || sync.request.heldVersion != version;
        (due ? answered : remaining).push_back(std::move(sync));
    }
    this->syncs = std::move(remaining);
    for (const HeldSync &sync : answered) {
        // Without a quorum this controller may have been superseded, and its reply would extend the
        // lease on an outdated configuration.
        if (!this->log.holdsLeaderLease())
            sync.done(failure(ErrorCode::Unavailable, "the controller has no quorum"));
        else
            sync.done(this->syncReply(sync.request));
    }
}

SyncReply CellController::syncReply(const SyncRequest &request) const
{
    SyncReply reply;
    reply.leaseMs = this->options.configurationLease.count();
    reply.changes = this->state.read([&](const ClusterState &cluster) {
        return encodeChanges(cluster.configuration().changesSince(request.heldVersion));
    });
    return reply;
}

void CellController::refreshPolicy()
{
    const std::uint64_t version = this->state.read(
        [](const ClusterState &cluster) { return cluster.configuration().version(); });
    if (version == this->policyVersion)
        return;
    this->policyVersion = version;
    const Policy policy = this->state.read(
        [this](const ClusterState &cluster) { return this->feed.policy(cluster); });
    this->scheduler->applyPolicy(policy, this->options.clock());
    this->retryRefusedTasks();
    this->answerSyncs();
}

void CellController::retryRefusedTasks()
{
    const TimePair now = this->time();
    const auto refused = std::exchange(this->refusedTasks, {});
    for (const SchedulerFeed::Refused &waiting : refused) {
        if (waiting.error.code == ErrorCode::DeadlineExceeded) {
            RefuseJob command;
            command.job = waiting.job;
            command.code = waiting.error.code;
            command.message = waiting.error.message;
            command.retryAfterMs = waiting.error.retryAfter.count();
            command.refusedAt = now.cellMs;
            this->enqueue(std::move(command),
                          [this, job = waiting.job](const Result<CommandValue> &outcome) {
                              if (outcome && this->leading)
                                  this->jobChanged(job);
                          });
            continue;
        }
        const auto request = this->state.read([&](const ClusterState &cluster) {
            const JobRecord *job = cluster.job(waiting.job);
            const bool waits = job != nullptr
                && job->tasks[job->position(waiting.task)].state == TaskState::Waiting;
            return waits ? std::optional(this->feed.taskRequest(*job, waiting.task, now))
                         : std::nullopt;
        });
        if (!request)
            continue;
        const Result<void> submitted = this->scheduler->submit(*request, now.now);
        if (!submitted)
            this->refusedTasks.push_back({waiting.job, waiting.task, submitted.error()});
    }
}

} // namespace guavavalve
