#include "trial.h"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace guavavalve::bench {

namespace {

constexpr Microseconds samplingInterval = std::chrono::seconds(1);
/// Delay between the measurement of usage and its report to the scheduler.
constexpr Microseconds usageLag = std::chrono::seconds(2);
/// Run time of a task on a failing target.
constexpr Microseconds failingRunTime = std::chrono::milliseconds(20);
constexpr Microseconds checkpointTime = std::chrono::milliseconds(500);

Resources scaledSize(Resources size, double factor)
{
    for (const ResourceKind kind : {ResourceKind::MilliCores, ResourceKind::MemoryMb})
        size[kind] = static_cast<std::int64_t>(static_cast<double>(size[kind]) * factor);
    return size;
}

/// CPU time of this thread. Wall time would include the load of other processes on the machine.
double threadSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

} // namespace

Trial::Trial(Scheduler &testedScheduler, const Deployment &cell, const TrialSettings &trialSettings)
    : scheduler(testedScheduler)
    , deployment(cell)
    , settings(trialSettings)
    , random(trialSettings.seed)
{
    // The load fractions relate the kinds by their own dominant resources; all are scaled so that
    // the busiest resource of the cell gets the requested load.
    std::array<double, resourceKindCount> offered{};
    for (const WorkKind &kind : cell.kinds) {
        const double perTask = kind.need.dominantShare(cell.total);
        for (std::size_t i = 0; i < resourceKindCount; ++i) {
            if (cell.total.amounts[i] > 0) {
                offered[i] += kind.loadFraction / perTask
                    * static_cast<double>(kind.need.amounts[i])
                    / static_cast<double>(cell.total.amounts[i]);
            }
        }
    }
    const double busiest = *std::max_element(offered.begin(), offered.end());
    for (const WorkKind &kind : cell.kinds) {
        const double demand = kind.need.dominantShare(cell.total) * kind.tasks * kind.runSeconds;
        this->jobsPerTick.push_back(trialSettings.load / busiest * kind.loadFraction / demand
                                    * std::chrono::duration<double>(trialSettings.tick).count());
    }
    this->actualUse.resize(cell.targets.size() + 1);
    for (const TargetInfo &target : cell.targets) {
        if (this->uniform() < trialSettings.failingTargets)
            this->failing.insert(target.id);
    }
}

template<typename Call>
void Trial::timed(Call &&call)
{
    const double before = threadSeconds();
    call();
    if (this->measuring)
        this->result.schedulerSeconds += threadSeconds() - before;
}

std::uint32_t Trial::poisson(double mean)
{
    return std::poisson_distribution<std::uint32_t>(mean)(this->random);
}

void Trial::submitJob(std::size_t index)
{
    const WorkKind &kind = this->deployment.kinds[index];
    const auto team = static_cast<std::uint32_t>(
        this->uniform() * static_cast<double>(this->deployment.policy.teams.size()));
    // Declared sizes are wrong consistently for a team and kind of work, as people's estimates are:
    // from a quarter to four times the actual size.
    const double errorSeed =
        static_cast<double>((team * 7919U + static_cast<std::uint32_t>(index) * 104729U) % 97U);
    const double error = this->settings.wrongSizes ? std::pow(4.0, errorSeed / 48.0 - 1.0) : 1.0;
    TaskRequest request;
    request.job = JobId(this->nextId);
    request.jobTasks = kind.tasks;
    request.team = TeamId(team + 1);
    request.workClass = kind.workClass;
    request.need = scaledSize(kind.need, error);
    for (std::size_t i = 0; i < resourceKindCount; ++i) {
        request.need.amounts[i] = std::min(request.need.amounts[i],
                                           this->deployment.targets.front().total.amounts[i]
                                               + kind.need.amounts[i] * (i == 2 ? 1 : 0));
    }
    const double run = kind.runSeconds * (0.5 + this->uniform());
    request.declaredRunTime = Microseconds(static_cast<std::int64_t>(run * error * 1e6));
    for (std::uint32_t i = 0; i < kind.tasks; ++i) {
        request.id = TaskId(this->nextId++);
        bool taken = false;
        this->timed([&] { taken = !this->scheduler.submit(request, this->now).has_error(); });
        if (!taken) {
            this->result.refused += this->measuring ? 1 : 0;
            continue;
        }
        SimulatedTask &task = this->tasks[request.id];
        task.request = request;
        task.actualNeed = scaledSize(kind.need, 0.9 + 0.2 * this->uniform());
        if (!this->settings.wrongSizes)
            task.actualNeed = kind.need;
        task.runTime = Microseconds(static_cast<std::int64_t>(run * 1e6));
        task.submittedAt = this->now;
    }
}

void Trial::submitArrivals()
{
    for (std::size_t kind = 0; kind < this->jobsPerTick.size(); ++kind) {
        const std::uint32_t jobs = this->poisson(this->jobsPerTick[kind]);
        for (std::uint32_t i = 0; i < jobs; ++i)
            this->submitJob(kind);
    }
}

void Trial::endAttempts()
{
    while (!this->attemptEnds.empty() && this->attemptEnds.top().at <= this->now) {
        const TimedEvent timed = this->attemptEnds.top();
        this->attemptEnds.pop();
        const auto item = this->tasks.find(timed.task);
        if (item == this->tasks.end() || item->second.attempt != timed.attempt
            || item->second.target == TargetId::None)
            continue;
        SimulatedTask &task = item->second;
        const bool fails = this->failing.count(task.target) != 0;
        const bool done = !fails && task.placedAt + task.runTime <= this->now;
        this->actualUse[idValue(task.target)] -= task.actualNeed;
        task.target = TargetId::None;
        if (done) {
            this->timed([&] {
                this->scheduler.taskEnded(timed.task, AttemptOutcome::Succeeded, this->now);
            });
            this->tasks.erase(item);
            continue;
        }
        // A failed task is retried; one that was checkpointed or stopped continues later.
        this->result.failed += fails && this->measuring ? 1 : 0;
        const AttemptOutcome end = fails ? AttemptOutcome::Failed : AttemptOutcome::Stopped;
        this->timed([&] { this->scheduler.requeue(timed.task, end, this->now); });
    }
}

void Trial::reportUsage()
{
    while (!this->usageReports.empty() && this->usageReports.top().at <= this->now) {
        const TimedEvent timed = this->usageReports.top();
        this->usageReports.pop();
        const auto item = this->tasks.find(timed.task);
        if (item == this->tasks.end() || item->second.attempt != timed.attempt
            || item->second.target == TargetId::None)
            continue;
        this->timed([&] {
            this->scheduler.usageReported(timed.task, item->second.actualNeed,
                                          this->now - usageLag);
        });
    }
}

void Trial::decide()
{
    std::vector<Decision> decisions;
    const double before = threadSeconds();
    this->scheduler.decide(this->now, decisions);
    const double spent = threadSeconds() - before;
    if (this->measuring) {
        this->result.schedulerSeconds += spent;
        this->result.decideMs.push_back(spent * 1e3);
    }
    for (const Decision &decision : decisions)
        this->execute(decision);
}

void Trial::execute(const Decision &decision)
{
    const auto item = this->tasks.find(decision.task);
    if (item == this->tasks.end())
        return;
    SimulatedTask &task = item->second;
    switch (decision.kind) {
    case DecisionKind::Place: {
        task.target = decision.target;
        task.placedAt = this->now;
        ++task.attempt;
        this->actualUse[idValue(task.target)] += task.actualNeed;
        const bool fails = this->failing.count(task.target) != 0;
        this->attemptEnds.push(TimedEvent{this->now + (fails ? failingRunTime : task.runTime),
                                          decision.task, task.attempt});
        if (task.runTime > usageLag * 2) {
            this->usageReports.push(
                TimedEvent{this->now + usageLag * 2, decision.task, task.attempt});
        }
        if (!this->measuring)
            return;
        ++this->result.placed;
        if (task.attempt == 1 && task.request.workClass == WorkClass::Prompt) {
            this->result.promptWaitMs.push_back(
                std::chrono::duration<double, std::milli>(this->now - task.submittedAt).count());
        }
        return;
    }
    case DecisionKind::Checkpoint:
    case DecisionKind::Stop:
        // The work done so far is kept; the rest runs later, with the checkpoint as overhead.
        task.runTime -= std::min(task.runTime, this->now - task.placedAt);
        task.runTime += checkpointTime * 2;
        this->attemptEnds.push(TimedEvent{this->now + checkpointTime, decision.task, task.attempt});
        return;
    case DecisionKind::Refuse:
        this->result.refused += this->measuring ? 1 : 0;
        this->tasks.erase(item);
        return;
    case DecisionKind::Throttle:
        return;
    }
}

void Trial::sample()
{
    const Statistics statistics = this->scheduler.statistics();
    std::uint64_t waitingTasks = 0;
    for (const ClassStatistics &counts : statistics.classes)
        waitingTasks += counts.waiting;
    ++this->samples;
    std::size_t over = 0;
    Resources useful; // use beyond a target's capacity does not count
    for (const TargetInfo &target : this->deployment.targets) {
        const Resources &used = this->actualUse[idValue(target.id)];
        over += used.fitsInto(target.total) ? 0 : 1;
        for (std::size_t i = 0; i < resourceKindCount; ++i)
            useful.amounts[i] += std::min(used.amounts[i], target.total.amounts[i]);
    }
    this->result.overused +=
        static_cast<double>(over) / static_cast<double>(this->deployment.targets.size());
    if (waitingTasks < this->deployment.targets.size() / 4 + 4)
        return;
    ++this->packingSamples;
    this->result.packing += useful.dominantShare(this->deployment.total);
    double sum = 0.0;
    for (const TeamStatistics &team : statistics.teams) {
        const double error =
            team.fairShare > 0.0 ? std::abs(team.share - team.fairShare) / team.fairShare : 0.0;
        this->teamErrors[team.team] += error;
        sum += error;
    }
    this->result.shareError += sum / static_cast<double>(statistics.teams.size());
    ++this->shareSamples;
}

TrialResult Trial::run()
{
    this->scheduler.applyPolicy(this->deployment.policy, this->now);
    for (const TargetInfo &target : this->deployment.targets)
        this->scheduler.targetChanged(target, this->now);
    const auto wallStart = std::chrono::steady_clock::now();
    const auto seconds = [](double value) {
        return Microseconds(static_cast<std::int64_t>(value * 1e6));
    };
    Instant nextSample = this->now + seconds(this->settings.warmUpSeconds);
    const Instant end = this->now + seconds(this->settings.seconds);
    while (this->now < end) {
        this->now += this->settings.tick;
        this->measuring = this->now - this->start >= seconds(this->settings.warmUpSeconds);
        const std::uint64_t idBefore = this->nextId;
        const std::size_t eventsBefore = this->attemptEnds.size() + this->usageReports.size();
        this->submitArrivals();
        this->endAttempts();
        this->reportUsage();
        const bool hasEvents = idBefore != this->nextId
            || eventsBefore != this->attemptEnds.size() + this->usageReports.size();
        if (hasEvents || this->scheduler.nextWakeup() <= this->now)
            this->decide();
        if (this->now >= nextSample) {
            nextSample += samplingInterval;
            this->sample();
        }
        const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - wallStart;
        if (wall.count() > this->settings.wallSeconds)
            break;
    }
    const Statistics statistics = this->scheduler.statistics();
    this->result.simulatedSeconds = std::chrono::duration<double>(this->now - this->start).count();
    for (const ClassStatistics &counts : statistics.classes) {
        this->result.running += counts.running;
        this->result.waiting += counts.waiting;
        this->result.preempted += counts.preempted;
    }
    this->result.quarantined = statistics.quarantined;
    const auto mean = [](double &sum, std::uint64_t count) {
        sum = count > 0 ? sum / static_cast<double>(count) : 0.0;
    };
    mean(this->result.packing, this->packingSamples);
    mean(this->result.shareError, this->shareSamples);
    mean(this->result.overused, this->samples);
    for (const auto &[team, error] : this->teamErrors) {
        const double average = error / static_cast<double>(this->shareSamples);
        this->result.shareErrorMax = std::max(this->result.shareErrorMax, average);
    }
    return this->result;
}

} // namespace guavavalve::bench
