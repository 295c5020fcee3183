#pragma once

#include "decisions/scheduler.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace guavavalve {

/// Splits the fleet into shards, each a scheduler with its own lock, so that several threads can
/// decide concurrently. Thread safe. A task belongs to one shard, chosen by its job; a job that
/// cannot fit there goes to the next. A team's upper limit is split into one budget per shard, so
/// that no shard reads a global counter; the budgets never add up to more than the limit.
/// rebalance() moves unused budget to the shards where the team has waiting tasks.
class ShardedScheduler : public Scheduler
{
public:
    using Factory = std::function<std::unique_ptr<Scheduler>()>;

    /// Creates \a shards schedulers by \a factory.
    ShardedScheduler(std::uint32_t shards, const Factory &factory);
    ~ShardedScheduler() override;

    std::uint32_t shardCount() const { return static_cast<std::uint32_t>(this->shards.size()); }

    /// The shard that a job's tasks go to if they can fit there. Threads do not wait for each other
    /// if each submits only the jobs of the shards that it decides for.
    std::uint32_t homeShard(JobId job) const;

    /// Runs decide() of one shard. Threads that call it for different shards do not wait for each
    /// other.
    void decideShard(std::uint32_t shard, Instant now, std::vector<Decision> &out);

    /// Moves unused budget to the shards where its team has waiting tasks. To be called
    /// occasionally, by any one thread.
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

    /// Runs decideShard() for all shards, one after the other.
    void decide(Instant now, std::vector<Decision> &out) override;
    Instant nextWakeup() const override;
    Explanation explain(TaskId task) const override;

    /// Sums over the shards; a team's fair share is the sum of its shares in the shards, weighted
    /// by their sizes.
    Statistics statistics() const override;

private:
    struct Shard;
    struct TaskShards;

    std::uint32_t shardOf(TargetId target) const;
    Shard *shardOf(TaskId task) const;
    std::vector<std::uint32_t> spareBudgetWeights(const std::vector<std::uint32_t> &waiting);
    std::vector<Resources> splitTeamLimit(const TeamPolicy &team,
                                          const std::vector<Statistics> &statistics);

    std::vector<std::unique_ptr<Shard>> shards;
    std::unique_ptr<TaskShards> taskShards;
    mutable std::mutex policyMutex; ///< locked before any shard
    Policy policy;
    std::uint64_t splitCount = 0; ///< how often the limits have been split
};

} // namespace guavavalve
