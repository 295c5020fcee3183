#include "measures.h"

#include "decisions/fairscheduler.h"
#include "decisions/shardedscheduler.h"
#include "workload.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <thread>

namespace guavavalve::bench {

namespace {

constexpr std::uint32_t submissionsPerShard = 8;
constexpr Instant start{std::chrono::seconds(1000)};

double threadSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t bytesInUse()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void setUp(Scheduler &scheduler, const Deployment &cell)
{
    scheduler.applyPolicy(cell.policy, start);
    for (const TargetInfo &target : cell.targets)
        scheduler.targetChanged(target, start);
}

TaskRequest batchTask(std::uint64_t id, const Deployment &cell)
{
    TaskRequest task;
    task.id = TaskId(id);
    task.job = JobId(id);
    task.team = TeamId(static_cast<std::uint32_t>(1 + id % cell.policy.teams.size()));
    const auto size = static_cast<std::int64_t>(1 + id % 4);
    task.need = Resources{{3000 * size, 9000 * size, 0, 1, 1}};
    task.declaredRunTime = std::chrono::seconds(30);
    return task;
}

void submit(Scheduler &scheduler, const TaskRequest &task, Instant now)
{
    if (scheduler.submit(task, now).has_error())
        std::fprintf(stderr, "decisionsbench: a submission was refused\n");
}

/// CPU time in microseconds of one task end, one submission and the following decide() in a full
/// cell with about \a queued waiting tasks.
double measureTurnMicroseconds(std::uint32_t targets, std::uint64_t queued, int turns)
{
    Deployment cell = largeFleet(targets, 350);
    for (TeamPolicy &team : cell.policy.teams)
        team.limit = unlimitedResources();
    FairScheduler scheduler;
    setUp(scheduler, cell);
    std::vector<Decision> placed;
    std::uint64_t nextId = 1;
    Instant now = start;
    std::size_t before = 0;
    do {
        before = placed.size();
        for (int i = 0; i < 1000; ++i)
            submit(scheduler, batchTask(nextId++, cell), now);
        for (int i = 0; i < 4; ++i)
            scheduler.decide(now, placed);
    } while (placed.size() - before > 500);
    std::uint32_t waiting = scheduler.statistics().of(WorkClass::Batch).waiting;
    for (; waiting < queued; ++waiting)
        submit(scheduler, batchTask(nextId++, cell), now);
    scheduler.decide(now, placed);
    std::size_t next = 0;
    const double began = threadSeconds();
    for (int turn = 0; turn < turns && next < placed.size(); ++turn) {
        now += Microseconds(150);
        scheduler.taskEnded(placed[next++].task, AttemptOutcome::Succeeded, now);
        submit(scheduler, batchTask(nextId++, cell), now);
        scheduler.decide(now, placed);
    }
    return (threadSeconds() - began) * 1e6 / turns;
}

struct ThreadWork
{
    ShardedScheduler &scheduler;
    const Deployment &cell;
    std::uint32_t first = 0; ///< first shard of the thread; the others follow in steps of `step`
    std::uint32_t step = 1;
    std::uint64_t firstId = 0;
    std::uint64_t placements = 0;
    double processorSeconds = 0.0;
};

/// Submits, places and ends tasks in the shards of one thread until \a until. The thread submits
/// only jobs whose home is one of its shards.
void runThread(ThreadWork &threadWork, std::chrono::steady_clock::time_point until)
{
    std::uint64_t nextId = threadWork.firstId;
    Instant now = start;
    const std::uint32_t shardsEach = threadWork.scheduler.shardCount() / threadWork.step;
    std::vector<Decision> decisions;
    while (std::chrono::steady_clock::now() < until) {
        now += Microseconds(1000);
        for (std::uint32_t i = 0; i < submissionsPerShard * shardsEach; ++i) {
            while (threadWork.scheduler.homeShard(JobId(nextId)) % threadWork.step
                   != threadWork.first)
                ++nextId;
            submit(threadWork.scheduler, batchTask(nextId++, threadWork.cell), now);
        }
        decisions.clear();
        for (std::uint32_t shard = threadWork.first; shard < threadWork.scheduler.shardCount();
             shard += threadWork.step)
            threadWork.scheduler.decideShard(shard, now, decisions);
        for (const Decision &decision : decisions)
            threadWork.scheduler.taskEnded(decision.task, AttemptOutcome::Succeeded, now);
        threadWork.placements += decisions.size();
    }
    threadWork.processorSeconds = threadSeconds();
}

} // namespace

void measureGrowth(bool quick)
{
    const int turns = quick ? 500 : 5000;
    std::printf(
        "\none task end, one submission and one decision (a turn) in a full cell, 350 teams\n");
    std::printf("%10s %10s %12s\n", "targets", "queued", "us/turn");
    for (const std::uint32_t targets : {1000U, 4000U, 16000U, 34000U}) {
        if (quick && targets > 4000)
            continue;
        std::printf("%10u %10u %12.1f\n", targets, 10000U,
                    measureTurnMicroseconds(targets, 10000, turns));
        std::fflush(stdout);
    }
    for (const std::uint64_t queued : {3000U, 30000U, 300000U}) {
        std::printf("%10u %10llu %12.1f\n", 4000U, static_cast<unsigned long long>(queued),
                    measureTurnMicroseconds(4000, queued, turns));
        std::fflush(stdout);
    }
}

void measureMemory()
{
    constexpr std::uint32_t targets = 10000;
    constexpr std::uint32_t teams = 350;
    constexpr std::uint64_t tasks = 100000;
    const Deployment cell = largeFleet(targets, teams);
    const std::size_t empty = bytesInUse();
    FairScheduler scheduler;
    scheduler.applyPolicy(cell.policy, start);
    const std::size_t withTeams = bytesInUse();
    for (const TargetInfo &target : cell.targets)
        scheduler.targetChanged(target, start);
    const std::size_t withTargets = bytesInUse();
    for (std::uint64_t id = 1; id <= tasks; ++id)
        submit(scheduler, batchTask(id, cell), start);
    const std::size_t withTasks = bytesInUse();
    std::printf("\nbytes: %zu per team, %zu per target, %zu per waiting task (including its share "
                "of the queue)\n",
                (withTeams - empty) / teams, (withTargets - withTeams) / targets,
                (withTasks - withTargets) / tasks);
}

void measureThreads(bool quick)
{
    constexpr std::uint32_t shards = 64;
    std::printf("\nplacements per second, %u shards of 125 targets, 350 teams\n", shards);
    std::printf("%8s %16s %18s\n", "threads", "of wall time", "of CPU time");
    const Deployment cell = largeFleet(8000, 350);
    for (const std::uint32_t threads : {1U, 2U, 4U, 8U}) {
        ShardedScheduler scheduler(shards, [] { return std::make_unique<FairScheduler>(); });
        setUp(scheduler, cell);
        std::vector<ThreadWork> works;
        for (std::uint32_t i = 0; i < threads; ++i)
            works.push_back(ThreadWork{scheduler, cell, i, threads, (i + 1ULL) << 40U, 0, 0.0});
        const double seconds = quick ? 0.5 : 3.0;
        const auto until = std::chrono::steady_clock::now()
            + std::chrono::milliseconds(static_cast<int>(seconds * 1e3));
        std::vector<std::thread> pool;
        pool.reserve(works.size());
        for (ThreadWork &threadWork : works)
            pool.emplace_back([&threadWork, until] { runThread(threadWork, until); });
        for (std::thread &thread : pool)
            thread.join();
        std::uint64_t sum = 0;
        double processor = 0.0;
        for (const ThreadWork &threadWork : works) {
            sum += threadWork.placements;
            processor += threadWork.processorSeconds;
        }
        std::printf("%8u %16.0f %18.0f\n", threads, static_cast<double>(sum) / seconds,
                    static_cast<double>(sum) / processor);
        std::fflush(stdout);
    }
}

} // namespace guavavalve::bench
