#pragma once

#include "decisions/scheduler.h"
#include "workload.h"

#include <cstdint>
#include <queue>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace guavavalve::bench {

/// Parameters of one trial.
struct TrialSettings
{
    /// Offered load, by the actual needs, relative to the cell's busiest resource.
    double load = 0.9;
    double seconds = 120; ///< simulated time
    double warmUpSeconds = 40; ///< simulated time at the start that is not measured
    double wallSeconds = 30; ///< the trial ends early after this much real time
    bool wrongSizes = false; ///< declared sizes and run times are off by up to a factor of four
    double failingTargets = 0.0; ///< fraction of the targets that fail every task immediately
    std::uint32_t seed = 1;
    Microseconds tick{1000}; ///< events within a tick are reported together before decide()
};

/// Measurements of one trial.
struct TrialResult
{
    double simulatedSeconds = 0.0;
    std::uint64_t placed = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0; ///< attempts that ended on a failing target
    double schedulerSeconds = 0.0; ///< CPU time of all calls of the scheduler
    std::vector<double> decideMs; ///< CPU time of each decide(); idle ticks skip it
    std::vector<double> promptWaitMs; ///< simulated time from submission to placement
    /// Mean fraction of the busiest resource in actual use, while work waits.
    double packing = 0.0;
    /// Mean over teams and time of |share - fair share| / fair share, while work waits.
    double shareError = 0.0;
    double shareErrorMax = 0.0; ///< of the worst team, mean over time
    double overused = 0.0; ///< fraction of the targets whose actual use exceeds their capacity
    std::uint32_t running = 0; ///< at the end
    std::uint32_t waiting = 0;
    std::uint32_t quarantined = 0;
    std::uint64_t preempted = 0;
};

/// Simulates the work of one deployment on a scheduler in ticks. The same seed gives the same
/// arrivals whatever the scheduler decides.
class Trial
{
public:
    Trial(Scheduler &scheduler, const Deployment &deployment, const TrialSettings &settings);

    TrialResult run();

private:
    struct SimulatedTask
    {
        TaskRequest request;
        Resources actualNeed;
        Microseconds runTime{0};
        Instant submittedAt{};
        Instant placedAt{};
        TargetId target = TargetId::None;
        std::uint32_t attempt = 0;
    };
    struct TimedEvent
    {
        Instant at{};
        TaskId task = TaskId::None;
        std::uint32_t attempt = 0;

        friend bool operator>(const TimedEvent &a, const TimedEvent &b)
        {
            return a.at > b.at || (a.at == b.at && a.task > b.task);
        }
    };
    using Timeline = std::priority_queue<TimedEvent, std::vector<TimedEvent>, std::greater<>>;

    template<typename Call>
    void timed(Call &&call);
    void submitArrivals();
    void submitJob(std::size_t kind);
    void endAttempts();
    void reportUsage();
    void decide();
    void execute(const Decision &decision);
    void sample();
    double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(this->random); }
    std::uint32_t poisson(double mean);

    Scheduler &scheduler;
    const Deployment &deployment;
    TrialSettings settings;
    std::mt19937_64 random;
    Instant now{std::chrono::seconds(1000)};
    Instant start = this->now;
    std::uint64_t nextId = 1;
    std::vector<double> jobsPerTick;
    std::unordered_map<TaskId, SimulatedTask> tasks;
    std::unordered_set<TargetId> failing;
    Timeline attemptEnds; ///< times at which attempts end, if not superseded
    Timeline usageReports; ///< times at which usage is reported
    std::vector<Resources> actualUse; ///< by target
    TrialResult result;
    std::uint64_t samples = 0;
    std::uint64_t packingSamples = 0;
    std::unordered_map<TeamId, double> teamErrors;
    std::uint64_t shareSamples = 0;
    bool measuring = false;
};

} // namespace guavavalve::bench
