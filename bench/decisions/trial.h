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

/// What is done to a cell in one trial.
struct TrialSettings
{
    double load = 0.9; ///< offered, by what is really needed, against the cell's busiest resource
    double seconds = 120; ///< of the scheduler's time
    double warmUpSeconds = 40; ///< at the start, not measured
    double wallSeconds = 30; ///< the trial ends early after this much real time
    bool wrongSizes = false; ///< sizes and run times declared are off by up to a factor of four
    double failingTargets = 0.0; ///< part of the targets that fail everything at once
    std::uint32_t seed = 1;
    Microseconds tick{1000}; ///< events of one tick are told together, then decided about
};

/// What was measured in one trial.
struct TrialResult
{
    double simulatedSeconds = 0.0;
    std::uint64_t placed = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0; ///< attempts that ended on a failing target
    double schedulerSeconds = 0.0; ///< processor time in all calls of the scheduler
    std::vector<double> decideMs; ///< processor time of each decide() that had something to do
    std::vector<double> promptWaitMs; ///< the scheduler's time from submission to placement
    double packing = 0.0; ///< mean part in real use of the busiest resource, while work waits
    double shareError = 0.0; ///< mean over teams and time of |share - due| / due, while work waits
    double shareErrorMax = 0.0; ///< of the worst team, mean over time
    double overused = 0.0; ///< part of the targets on which real use is more than there is
    std::uint32_t running = 0; ///< at the end
    std::uint32_t waiting = 0;
    std::uint32_t quarantined = 0;
    std::uint64_t preempted = 0;
};

/// Plays one deployment's work against a scheduler in ticks. The same seed gives
/// the same arrivals whatever the scheduler decides.
class Trial
{
public:
    Trial(Scheduler &scheduler, const Deployment &deployment, const TrialSettings &settings);

    TrialResult run();

private:
    struct Running
    {
        TaskRequest request;
        Resources real;
        Microseconds runTime{0};
        Instant submittedAt{};
        Instant placedAt{};
        TargetId target = TargetId::None;
        std::uint32_t attempt = 0;
    };
    struct Timed
    {
        Instant at{};
        TaskId task = TaskId::None;
        std::uint32_t attempt = 0;

        friend bool operator>(const Timed &a, const Timed &b)
        {
            return a.at > b.at || (a.at == b.at && a.task > b.task);
        }
    };
    using Timeline = std::priority_queue<Timed, std::vector<Timed>, std::greater<>>;

    template<typename Call>
    void timed(Call &&call);
    void arrivals();
    void submitJob(std::size_t kind);
    void ends();
    void usage();
    void decide();
    void follow(const Decision &decision);
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
    std::unordered_map<TaskId, Running> tasks;
    std::unordered_set<TargetId> failing;
    Timeline timeline;
    Timeline reports;
    std::vector<Resources> realUse; ///< by target
    TrialResult result;
    std::uint64_t samples = 0;
    std::uint64_t packingSamples = 0;
    std::unordered_map<TeamId, double> teamErrors;
    std::uint64_t shareSamples = 0;
    bool measuring = false;
};

} // namespace guavavalve::bench
