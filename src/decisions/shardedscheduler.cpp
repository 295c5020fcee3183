#include "decisions/shardedscheduler.h"

#include <algorithm>
#include <array>
#include <map>

namespace guavavalve {

namespace {

constexpr std::size_t taskBucketCount = 64;

std::uint64_t hashOf(std::uint64_t value)
{
    value *= 0x9e3779b97f4a7c15ULL;
    return value ^ (value >> 32U);
}

/// Splits \a limit into one budget for each shard. Each budget covers the shard's \a use if the
/// limit allows it; the rest is distributed by \a weights. The budgets never add up to more than
/// the limit.
std::vector<std::int64_t> splitLimit(std::int64_t limit, const std::vector<std::int64_t> &use,
                                     const std::vector<std::uint32_t> &weights)
{
    if (limit >= unlimitedAmount)
        return std::vector<std::int64_t>(use.size(), unlimitedAmount);
    std::int64_t used = 0;
    for (const std::int64_t amount : use)
        used += amount;
    std::int64_t weightSum = 0;
    for (const std::uint32_t weight : weights)
        weightSum += weight;
    std::vector<std::int64_t> budgets(use.size());
    for (std::size_t i = 0; i < use.size(); ++i) {
        // A limit lowered below the use reduces all shards in proportion to their use.
        budgets[i] = used > limit
            ? static_cast<std::int64_t>(static_cast<double>(use[i]) * static_cast<double>(limit)
                                        / static_cast<double>(used))
            : use[i] + (limit - used) / weightSum * weights[i];
    }
    return budgets;
}

const TeamStatistics *findTeam(const Statistics &statistics, TeamId team)
{
    const auto found = std::lower_bound(
        statistics.teams.begin(), statistics.teams.end(), team,
        [](const TeamStatistics &entry, TeamId wanted) { return entry.team < wanted; });
    return found != statistics.teams.end() && found->team == team ? &*found : nullptr;
}

Resources placedOf(TeamId team, const std::vector<Statistics> &statistics)
{
    Resources placed;
    for (const Statistics &part : statistics) {
        if (const TeamStatistics *entry = findTeam(part, team))
            placed += entry->placed;
    }
    return placed;
}

} // namespace

struct ShardedScheduler::Shard
{
    mutable std::mutex mutex;
    std::unique_ptr<Scheduler> scheduler;
    Policy policy; ///< with this shard's budgets as limits
};

/// Maps each task to its shard; split into buckets with a lock each.
struct ShardedScheduler::TaskShards
{
    struct Bucket
    {
        std::mutex mutex;
        std::unordered_map<TaskId, std::uint32_t> shards;
    };

    Bucket &bucketOf(TaskId task) { return this->buckets[hashOf(idValue(task)) % taskBucketCount]; }

    void set(TaskId task, std::uint32_t shard)
    {
        Bucket &bucket = this->bucketOf(task);
        const std::lock_guard<std::mutex> lock(bucket.mutex);
        bucket.shards[task] = shard;
    }

    void erase(TaskId task)
    {
        Bucket &bucket = this->bucketOf(task);
        const std::lock_guard<std::mutex> lock(bucket.mutex);
        bucket.shards.erase(task);
    }

    std::uint32_t find(TaskId task, std::uint32_t fallback)
    {
        Bucket &bucket = this->bucketOf(task);
        const std::lock_guard<std::mutex> lock(bucket.mutex);
        const auto found = bucket.shards.find(task);
        return found == bucket.shards.end() ? fallback : found->second;
    }

    std::array<Bucket, taskBucketCount> buckets;
};

ShardedScheduler::ShardedScheduler(std::uint32_t count, const Factory &factory)
    : taskShards(std::make_unique<TaskShards>())
{
    for (std::uint32_t i = 0; i < std::max(count, 1U); ++i) {
        this->shards.push_back(std::make_unique<Shard>());
        this->shards.back()->scheduler = factory();
    }
}

ShardedScheduler::~ShardedScheduler() = default;

std::uint32_t ShardedScheduler::shardOf(TargetId target) const
{
    return idValue(target) % this->shardCount();
}

ShardedScheduler::Shard *ShardedScheduler::shardOf(TaskId task) const
{
    const std::uint32_t shard = this->taskShards->find(task, this->shardCount());
    return shard < this->shardCount() ? this->shards[shard].get() : nullptr;
}

std::vector<std::uint32_t>
ShardedScheduler::spareBudgetWeights(const std::vector<std::uint32_t> &waiting)
{
    std::vector<std::uint32_t> weights = waiting;
    const auto waits = [](std::uint32_t count) { return count > 0; };
    const auto waitingShards = std::count_if(waiting.begin(), waiting.end(), waits);
    if (waitingShards == 0)
        return std::vector<std::uint32_t>(waiting.size(), 1U);
    // Each part of a small limit may be too small for any task, so every other split gives all
    // unused budget to one shard.
    if (this->splitCount % 2 == 0)
        return weights;
    auto chosen = static_cast<std::ptrdiff_t>(this->splitCount / 2 % waitingShards);
    for (std::uint32_t &weight : weights) {
        if (weight > 0)
            weight = chosen-- == 0 ? 1 : 0;
    }
    return weights;
}

std::vector<Resources> ShardedScheduler::splitTeamLimit(const TeamPolicy &team,
                                                        const std::vector<Statistics> &statistics)
{
    const std::size_t count = this->shards.size();
    std::vector<Resources> used(count);
    std::vector<std::uint32_t> waiting(count);
    for (std::size_t i = 0; i < count; ++i) {
        if (const TeamStatistics *entry = findTeam(statistics[i], team.team)) {
            used[i] = entry->placed;
            waiting[i] = entry->waiting;
        }
    }
    const std::vector<std::uint32_t> weights = this->spareBudgetWeights(waiting);
    std::vector<Resources> budgets(count);
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
        std::vector<std::int64_t> use(count);
        for (std::size_t i = 0; i < count; ++i)
            use[i] = used[i].amounts[kind];
        const std::vector<std::int64_t> amounts =
            splitLimit(team.limit.amounts[kind], use, weights);
        for (std::size_t i = 0; i < count; ++i)
            budgets[i].amounts[kind] = amounts[i];
    }
    return budgets;
}

void ShardedScheduler::applyPolicy(const Policy &newPolicy, Instant now)
{
    const std::lock_guard<std::mutex> policyLock(this->policyMutex);
    // All shards are locked, in the order of their indices, while the limits are split again: a
    // budget that grew before another shrank would let the team exceed its limit for a moment.
    std::vector<std::unique_lock<std::mutex>> locks;
    for (const auto &shard : this->shards)
        locks.emplace_back(shard->mutex);
    this->policy = newPolicy;
    ++this->splitCount;
    std::vector<Statistics> statistics;
    for (const auto &shard : this->shards) {
        statistics.push_back(shard->scheduler->statistics());
        shard->policy = newPolicy;
    }
    for (std::size_t team = 0; team < newPolicy.teams.size(); ++team) {
        const std::vector<Resources> budgets =
            this->splitTeamLimit(newPolicy.teams[team], statistics);
        const bool frozen =
            !placedOf(newPolicy.teams[team].team, statistics).fitsInto(newPolicy.teams[team].limit);
        for (std::size_t i = 0; i < this->shards.size(); ++i) {
            TeamPolicy &shardTeam = this->shards[i]->policy.teams[team];
            shardTeam.limit = budgets[i];
            shardTeam.totalLimit = newPolicy.teams[team].limit;
            shardTeam.frozen = frozen;
        }
    }
    for (const auto &shard : this->shards)
        shard->scheduler->applyPolicy(shard->policy, now);
}

void ShardedScheduler::rebalance(Instant now)
{
    Policy current;
    {
        const std::lock_guard<std::mutex> policyLock(this->policyMutex);
        const bool limited = std::any_of(
            this->policy.teams.begin(), this->policy.teams.end(), [](const TeamPolicy &team) {
                return std::any_of(team.limit.amounts.begin(), team.limit.amounts.end(),
                                   [](std::int64_t amount) { return amount < unlimitedAmount; });
            });
        if (!limited)
            return;
        current = this->policy;
    }
    this->applyPolicy(current, now);
}

void ShardedScheduler::targetChanged(const TargetInfo &target, Instant now)
{
    Shard &shard = *this->shards[this->shardOf(target.id)];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    shard.scheduler->targetChanged(target, now);
}

void ShardedScheduler::targetLost(TargetId target, Instant now)
{
    Shard &shard = *this->shards[this->shardOf(target)];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    shard.scheduler->targetLost(target, now);
}

std::uint32_t ShardedScheduler::homeShard(JobId job) const
{
    return static_cast<std::uint32_t>(hashOf(idValue(job)) % this->shardCount());
}

Result<void> ShardedScheduler::submit(const TaskRequest &task, Instant now)
{
    if (this->shardOf(task.id) != nullptr)
        return failure(ErrorCode::Conflict, "a task with this ID already exists");
    // Keeps a gang in one shard: the ID of a job equals that of its first task.
    const std::uint32_t homeIndex =
        static_cast<std::uint32_t>(hashOf(idValue(task.job)) % this->shardCount());
    const std::uint32_t first = this->taskShards->find(TaskId(idValue(task.job)), homeIndex);
    Result<void> result = failure(ErrorCode::Internal, "the scheduler has no shards");
    for (std::uint32_t i = 0; i < this->shardCount(); ++i) {
        const std::uint32_t index = (first + i) % this->shardCount();
        Shard &shard = *this->shards[index];
        // Mapped before submit(), since another thread may decide about the task right after it.
        this->taskShards->set(task.id, index);
        {
            const std::lock_guard<std::mutex> lock(shard.mutex);
            result = shard.scheduler->submit(task, now);
        }
        if (!result.has_error())
            return result;
        this->taskShards->erase(task.id);
        // Another shard is tried only for a task that this one can never hold.
        if (result.error().code != ErrorCode::NeverFits
            && result.error().code != ErrorCode::LimitExceeded)
            return result;
    }
    return result;
}

void ShardedScheduler::restorePlaced(const TaskRequest &task, const Resources &charge,
                                     TargetId target, Instant now)
{
    const std::uint32_t index = this->shardOf(target);
    this->taskShards->set(task.id, index);
    const std::lock_guard<std::mutex> lock(this->shards[index]->mutex);
    this->shards[index]->scheduler->restorePlaced(task, charge, target, now);
}

void ShardedScheduler::taskEnded(TaskId task, AttemptOutcome end, Instant now)
{
    Shard *shard = this->shardOf(task);
    if (shard == nullptr)
        return;
    {
        const std::lock_guard<std::mutex> lock(shard->mutex);
        shard->scheduler->taskEnded(task, end, now);
    }
    this->taskShards->erase(task);
}

void ShardedScheduler::requeue(TaskId task, AttemptOutcome end, Instant now)
{
    Shard *shard = this->shardOf(task);
    if (shard == nullptr)
        return;
    const std::lock_guard<std::mutex> lock(shard->mutex);
    shard->scheduler->requeue(task, end, now);
    if (shard->scheduler->explain(task).state == Explanation::State::Ended)
        this->taskShards->erase(task); // it was cancelled
}

void ShardedScheduler::placementRejected(TaskId task, Instant now)
{
    Shard *shard = this->shardOf(task);
    if (shard == nullptr)
        return;
    const std::lock_guard<std::mutex> lock(shard->mutex);
    shard->scheduler->placementRejected(task, now);
}

bool ShardedScheduler::cancel(TaskId task, Instant now)
{
    Shard *shard = this->shardOf(task);
    if (shard == nullptr)
        return false;
    bool forgotten = false;
    {
        const std::lock_guard<std::mutex> lock(shard->mutex);
        forgotten = shard->scheduler->cancel(task, now);
    }
    if (forgotten)
        this->taskShards->erase(task);
    return forgotten;
}

void ShardedScheduler::usageReported(TaskId task, const Resources &used, Instant at)
{
    Shard *shard = this->shardOf(task);
    if (shard == nullptr)
        return;
    const std::lock_guard<std::mutex> lock(shard->mutex);
    shard->scheduler->usageReported(task, used, at);
}

void ShardedScheduler::decideShard(std::uint32_t index, Instant now, std::vector<Decision> &out)
{
    const std::size_t before = out.size();
    {
        Shard &shard = *this->shards[index];
        const std::lock_guard<std::mutex> lock(shard.mutex);
        shard.scheduler->decide(now, out);
    }
    for (std::size_t i = before; i < out.size(); ++i) {
        if (out[i].kind == DecisionKind::Refuse)
            this->taskShards->erase(out[i].task);
    }
}

void ShardedScheduler::decide(Instant now, std::vector<Decision> &out)
{
    for (std::uint32_t shard = 0; shard < this->shardCount(); ++shard)
        this->decideShard(shard, now, out);
}

Instant ShardedScheduler::nextWakeup() const
{
    Instant next = Instant::max();
    for (const auto &shard : this->shards) {
        const std::lock_guard<std::mutex> lock(shard->mutex);
        next = std::min(next, shard->scheduler->nextWakeup());
    }
    return next;
}

Explanation ShardedScheduler::explain(TaskId task) const
{
    if (const Shard *shard = this->shardOf(task)) {
        const std::lock_guard<std::mutex> lock(shard->mutex);
        return shard->scheduler->explain(task);
    }
    // The task has ended; one of the shards may still have a record of it.
    Explanation explanation;
    for (const auto &shard : this->shards) {
        const std::lock_guard<std::mutex> lock(shard->mutex);
        explanation = shard->scheduler->explain(task);
        if (explanation.state != Explanation::State::Unknown)
            return explanation;
    }
    return explanation;
}

Statistics ShardedScheduler::statistics() const
{
    Statistics sum;
    std::map<TeamId, TeamStatistics> teams;
    std::vector<Statistics> parts;
    for (const auto &shard : this->shards) {
        const std::lock_guard<std::mutex> lock(shard->mutex);
        parts.push_back(shard->scheduler->statistics());
    }
    for (const Statistics &part : parts)
        sum.total += part.total;
    for (const Statistics &part : parts) {
        const double weight = part.total.dominantShare(sum.total);
        sum.placed += part.placed;
        sum.targets += part.targets;
        sum.departing += part.departing;
        sum.quarantined += part.quarantined;
        sum.headroomTargets += part.headroomTargets;
        for (std::size_t i = 0; i < workClassCount; ++i) {
            sum.classes[i].running += part.classes[i].running;
            sum.classes[i].waiting += part.classes[i].waiting;
            sum.classes[i].placed += part.classes[i].placed;
            sum.classes[i].refused += part.classes[i].refused;
            sum.classes[i].preempted += part.classes[i].preempted;
        }
        for (const TeamStatistics &entry : part.teams) {
            TeamStatistics &team = teams[entry.team];
            team.team = entry.team;
            team.placed += entry.placed;
            team.running += entry.running;
            team.waiting += entry.waiting;
            team.fairShare += entry.fairShare * weight;
        }
    }
    const std::lock_guard<std::mutex> policyLock(this->policyMutex);
    for (const TeamPolicy &team : this->policy.teams)
        teams[team.team].limit = team.limit;
    sum.packing = sum.placed.dominantShare(sum.total);
    for (auto &[id, team] : teams) {
        team.team = id;
        team.share = team.placed.dominantShare(sum.total);
        sum.teams.push_back(team);
    }
    return sum;
}

} // namespace guavavalve
