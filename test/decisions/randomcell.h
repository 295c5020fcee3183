#pragma once

#include "checkedscheduler.h"

#include <random>

namespace guavavalve::testing {

/// A small cell with random events in random order, determined by one seed.
class RandomCell
{
public:
    RandomCell(Scheduler &scheduler, std::uint32_t seed)
        : checked(scheduler)
        , random(seed)
    {
        this->changePolicy();
        for (std::uint32_t id = 1; id <= 6; ++id)
            this->announce(id);
    }

    /// Applies one random event, then decides.
    void step()
    {
        this->now += Microseconds(this->below(200000));
        this->applyRandomEvent();
        for (const Decision &decision : this->checked.decide(this->now))
            this->execute(decision);
    }

    CheckedScheduler checked;
    Instant now{std::chrono::seconds(1)};

private:
    std::uint32_t below(std::uint32_t bound)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(this->random);
    }

    void applyRandomEvent()
    {
        switch (this->below(16)) {
        case 0:
            return this->changePolicy();
        case 1:
            return this->announce(1 + this->below(10));
        case 2:
            return this->checked.targetLost(TargetId(1 + this->below(10)), this->now);
        case 3:
        case 4:
            return this->cancelSome();
        case 5:
        case 6:
        case 7:
        case 8:
            return this->endSome();
        case 9:
            return this->reportUsage();
        default:
            return this->submitJob();
        }
    }

    void changePolicy()
    {
        Policy policy;
        for (std::uint32_t id = 1; id <= 4; ++id) {
            if (this->below(12) == 0)
                continue; // the team is taken out of the configuration
            TeamPolicy team;
            team.team = TeamId(id);
            team.weight = 1.0 + this->below(4);
            if (this->below(2) == 0)
                team.limit[ResourceKind::MilliCores] = 2000 + 1000 * this->below(30);
            if (this->below(4) == 0)
                team.limit[ResourceKind::Slots] = 1 + this->below(20);
            policy.teams.push_back(team);
        }
        this->checked.applyPolicy(policy, this->now);
    }

    void announce(std::uint32_t id)
    {
        TargetInfo target;
        target.id = TargetId(id);
        target.incarnation = 1 + this->below(3);
        target.failureDomain = static_cast<std::uint16_t>(id % 3);
        target.rack = static_cast<std::uint16_t>(this->below(6));
        target.departing = this->below(8) == 0;
        target.total = Resources{{4000 + 4000 * (id % 4), 16000, id % 3, 8, 64}};
        // The capacity stays as it was: if it shrank below what runs, the target would exceed it
        // through no fault of the scheduler.
        const auto before = this->checked.targets.find(target.id);
        if (before != this->checked.targets.end())
            target.total = before->second.total;
        this->checked.targetChanged(target, this->now);
    }

    void submitJob()
    {
        TaskRequest task;
        task.team = TeamId(1 + this->below(4));
        task.workClass = static_cast<WorkClass>(this->below(workClassCount));
        task.jobTasks = task.workClass == WorkClass::Prompt ? 1 : 1 + this->below(5);
        task.need = Resources{{500 * (1 + this->below(8)), 500 * (1 + this->below(8)),
                               this->below(6) == 0 ? 1 : 0, 1, 1}};
        task.repeatable = this->below(4) != 0;
        task.declaredRunTime = std::chrono::seconds(this->below(20));
        if (this->below(3) == 0)
            task.startBy = this->now + std::chrono::milliseconds(1 + this->below(20000));
        task.job = JobId(this->nextId);
        const std::uint32_t tasks = task.jobTasks;
        for (std::uint32_t i = 0; i < tasks; ++i) {
            task.id = TaskId(this->nextId++);
            this->checked.submit(task, this->now);
        }
    }

    template<typename Map>
    TaskId anyOf(const Map &map)
    {
        if (map.empty())
            return TaskId::None;
        return std::next(map.begin(), this->below(static_cast<std::uint32_t>(map.size())))->first;
    }

    void cancelSome()
    {
        const std::uint32_t count = 1 + this->below(5);
        for (std::uint32_t i = 0; i < count; ++i) {
            const bool waits = this->below(2) == 0;
            this->checked.cancel(waits ? this->anyOf(this->checked.waiting)
                                       : this->anyOf(this->checked.placed),
                                 this->now);
        }
    }

    void endSome()
    {
        const std::uint32_t count = 1 + this->below(4);
        for (std::uint32_t i = 0; i < count; ++i) {
            const TaskId task = this->anyOf(this->checked.placed);
            if (task == TaskId::None)
                return;
            const auto end = static_cast<AttemptOutcome>(this->below(5));
            if (this->below(4) == 0)
                this->checked.requeue(task, end, this->now);
            else
                this->checked.taskEnded(task, end, this->now);
        }
    }

    void reportUsage()
    {
        for (const auto &[id, place] : this->checked.placed) {
            Resources used = place.request.need;
            used[ResourceKind::MilliCores] = used[ResourceKind::MilliCores] * this->below(9) / 4;
            used[ResourceKind::MemoryMb] = used[ResourceKind::MemoryMb] * this->below(9) / 4;
            this->checked.scheduler.usageReported(id, used, this->now - Microseconds(500000));
        }
    }

    /// Acts on a decision as the controller and the targets would; a stop may be left undone.
    void execute(const Decision &decision)
    {
        if (decision.kind == DecisionKind::Place && this->below(20) == 0)
            this->checked.placementRejected(decision.task, this->now);
        const bool ends =
            decision.kind == DecisionKind::Checkpoint || decision.kind == DecisionKind::Stop;
        if (ends && this->below(3) != 0)
            this->checked.requeue(decision.task, AttemptOutcome::Stopped, this->now);
    }

    std::mt19937 random;
    std::uint64_t nextId = 1;
};

} // namespace guavavalve::testing
