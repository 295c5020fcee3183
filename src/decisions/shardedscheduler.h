#pragma once

#include "decisions/scheduler.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace guavavalve {

/// Splits the fleet into shards, each a scheduler under its own lock, so that several threads
/// decide at once. Thread safe. A task belongs to one shard, chosen by its job; a job that cannot
/// fit there goes to the next. A team's upper limit is a budget held in parts by the shards: what
/// one shard may use is never read from a global counter, and the parts never add up to more than
/// the limit. rebalance() moves budget that is not in use to shards where the team waits for it.
class ShardedScheduler : public Scheduler
{
public:
    using Factory = std::function<std::unique_ptr<Scheduler>()>;

    /// \a shards schedulers made by \a factory.
    ShardedScheduler(std::uint32_t shards, const Factory &factory);
    ~ShardedScheduler() override;

    std::uint32_t shardCount() const { return static_cast<std::uint32_t>(this->shards.size()); }

    /// The shard that a job's tasks go to if they can fit there. A caller that hands each thread
    /// the jobs of the shards it decides in keeps threads from waiting for each other.
    std::uint32_t homeShard(JobId job) const;

    /// Decides in one shard only. Threads that call it for different shards do not wait for each
    /// other.
    void decideShard(std::uint32_t shard, Instant now, std::vector<Decision> &out);

    /// Moves budget that is not in use to the shards where its team waits; a call now and then,
    /// by any one thread, is enough.
    void rebalance(Instant now);

    void applyPolicy(const Policy &policy, Instant now) override;
    void targetChanged(const TargetInfo &target, Instant now) override;
    void targetLost(TargetId target, Instant now) override;
    Result<void> submit(const TaskRequest &task, Instant now) override;
    void restorePlaced(const TaskRequest &task, const Resources &charge, TargetId target,
                       Instant now) override;
    void taskEnded(TaskId task, AttemptOutcome end, Instant now) override;
    void requeue(TaskId task, AttemptOutcome end, Instant now) override;
    void placementRejected(TaskId task, Instant now) override;
    bool cancel(TaskId task, Instant now) override;
    void usageReported(TaskId task, const Resources &used, Instant at) override;

    /// Decides in all shards, one after the other.
    void decide(Instant now, std::vector<Decision> &out) override;
    Instant nextWakeup() const override;
    Explanation explain(TaskId task) const override;

    /// Sums over the shards; a team's due is the sum of its dues, weighted by the shards' sizes.
    Statistics statistics() const override;

private:
    struct Shard;
    struct TaskShards;

    std::uint32_t shardOf(TargetId target) const;
    Shard *shardOf(TaskId task) const;
    std::vector<std::uint32_t> spareWeights(const std::vector<std::uint32_t> &waiting);
    std::vector<Resources> divide(const TeamPolicy &team,
                                  const std::vector<Statistics> &statistics);

    std::vector<std::unique_ptr<Shard>> shards;
    std::unique_ptr<TaskShards> taskShards;
    mutable std::mutex policyMutex; ///< taken before any shard's lock
    Policy policy;
    std::uint64_t divisions = 0; ///< of the limits, ever
};

} // namespace guavavalve
