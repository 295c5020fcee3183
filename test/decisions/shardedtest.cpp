#include <catch2/catch.hpp>

#include "decisions/fairscheduler.h"
#include "decisions/shardedscheduler.h"
#include "randomcell.h"

#include <thread>

using namespace guavavalve;
using namespace guavavalve::testing;

namespace {

std::unique_ptr<Scheduler> makeFair()
{
    return std::make_unique<FairScheduler>();
}

void addTargets(ShardedScheduler &scheduler, std::uint32_t count, Instant now)
{
    for (std::uint32_t id = 1; id <= count; ++id) {
        TargetInfo target;
        target.id = TargetId(id);
        target.total = Resources{{8000, 16000, 0, 8, 64}};
        scheduler.targetChanged(target, now);
    }
}

TaskRequest smallTask(std::uint64_t id, std::uint32_t team)
{
    TaskRequest task;
    task.id = TaskId(id);
    task.job = JobId(id);
    task.team = TeamId(team);
    task.need = Resources{{1000, 1000, 0, 1, 1}};
    return task;
}

} // namespace

TEST_CASE("random events break no invariant of the sharded scheduler", "[sharded]")
{
    for (std::uint32_t seed = 100; seed < 120; ++seed) {
        ShardedScheduler scheduler(3, makeFair);
        RandomCell cell(scheduler, seed);
        for (int step = 0; step < 1000; ++step) {
            cell.step();
            if (step % 10 == 0)
                scheduler.rebalance(cell.now);
            INFO("seed " << seed << ", step " << step << ": " << cell.checked.violation);
            REQUIRE(cell.checked.violation.empty());
        }
    }
}

// Guards against a team that can use only one shard's budget: all its work is one job and so falls
// into one shard. It must be able to use its whole limit, and not exceed it.
TEST_CASE("unused budget moves to the shard where the team has waiting tasks", "[sharded]")
{
    const Instant now{std::chrono::seconds(1)};
    ShardedScheduler scheduler(4, makeFair);
    Policy policy;
    TeamPolicy team;
    team.team = TeamId(1);
    team.limit[ResourceKind::MilliCores] = 12000;
    policy.teams.push_back(team);
    scheduler.applyPolicy(policy, now);
    addTargets(scheduler, 16, now);
    for (std::uint64_t id = 1; id <= 30; ++id) {
        TaskRequest task = smallTask(id, 1);
        task.job = JobId(7); // all tasks in one shard
        REQUIRE_FALSE(scheduler.submit(task, now).has_error());
    }
    std::vector<Decision> decisions;
    scheduler.decide(now, decisions);
    for (int i = 0; i < 20; ++i) {
        scheduler.rebalance(now);
        scheduler.decide(now, decisions);
        REQUIRE(decisions.size() <= 12);
    }
    CHECK(decisions.size() >= 11);
}

// Guards against tasks larger than a shard's budget: each shard's share of a small limit is less
// than one task. The task must neither be refused, since the total limit allows it, nor wait
// forever.
TEST_CASE("a task larger than one shard's budget starts within the team's limit", "[sharded]")
{
    const Instant now{std::chrono::seconds(1)};
    ShardedScheduler scheduler(8, makeFair);
    Policy policy;
    TeamPolicy team;
    team.team = TeamId(1);
    team.limit[ResourceKind::MilliCores] = 2000;
    policy.teams.push_back(team);
    scheduler.applyPolicy(policy, now);
    addTargets(scheduler, 16, now);
    std::vector<Decision> decisions;
    for (std::uint64_t id = 1; id <= 6; ++id)
        REQUIRE_FALSE(scheduler.submit(smallTask(id, 1), now).has_error());
    for (int i = 0; i < 20; ++i) {
        scheduler.rebalance(now);
        scheduler.decide(now, decisions);
    }
    CHECK(decisions.size() == 2);
}

// Guards against races between threads that submit, decide and end at the same time: no task may
// be placed twice or lost, and no team may exceed its limit.
TEST_CASE("concurrent threads neither lose a task nor place one twice", "[sharded]")
{
    const Instant now{std::chrono::seconds(1)};
    constexpr std::uint32_t threads = 4;
    constexpr std::uint64_t tasksEach = 2000;
    ShardedScheduler scheduler(threads, makeFair);
    Policy policy;
    policy.teams.push_back(TeamPolicy{TeamId(1), 1.0, unlimitedResources(), {}, false});
    policy.teams.push_back(
        TeamPolicy{TeamId(2), 1.0, Resources{{40000, 900000, 0, 900, 900}}, {}, false});
    scheduler.applyPolicy(policy, now);
    addTargets(scheduler, 64, now);
    std::array<std::vector<Decision>, threads> decided;
    std::atomic<std::uint32_t> submitting{threads};
    std::atomic<std::uint32_t> refused{0};
    const auto work = [&](std::uint32_t thread) {
        std::vector<Decision> &mine = decided[thread];
        const std::uint64_t first = thread * tasksEach + 1;
        for (std::uint64_t id = first; id < first + tasksEach; ++id)
            refused += scheduler.submit(smallTask(id, 1 + id % 2), now).has_error() ? 1 : 0;
        --submitting;
        std::size_t ended = 0;
        int idle = 0;
        while (submitting > 0 || idle < 50) {
            scheduler.decideShard(thread, now, mine);
            // Other threads may submit into this shard until they are done.
            idle = submitting == 0 && ended == mine.size() ? idle + 1 : 0;
            for (; ended < mine.size(); ++ended)
                scheduler.taskEnded(mine[ended].task, AttemptOutcome::Succeeded, now);
        }
    };
    std::vector<std::thread> pool;
    for (std::uint32_t thread = 0; thread < threads; ++thread)
        pool.emplace_back(work, thread);
    for (std::thread &thread : pool)
        thread.join();
    std::set<TaskId> placed;
    std::size_t placements = 0;
    for (const auto &mine : decided) {
        placements += mine.size();
        for (const Decision &decision : mine)
            placed.insert(decision.task);
    }
    CHECK(refused == 0);
    CHECK(placements == threads * tasksEach);
    CHECK(placed.size() == placements);
    CHECK(scheduler.statistics().placed == Resources());
}
