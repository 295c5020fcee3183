#pragma once

#include "checkedscheduler.h"
#include "decisions/fairscheduler.h"

#include <functional>
#include <string>

namespace guavavalve::testing {

/// A fair scheduler with a few equal targets and teams, a manual clock and short helpers for
/// events. Every decision is checked against the invariants.
class SmallCell
{
public:
    SmallCell(std::uint32_t targets, std::uint32_t teams)
        : checked(scheduler)
    {
        for (std::uint32_t id = 1; id <= teams; ++id) {
            TeamPolicy team;
            team.team = TeamId(id);
            this->policy.teams.push_back(team);
        }
        this->applyPolicy();
        for (std::uint32_t id = 1; id <= targets; ++id)
            this->announce(id, 1);
    }

    void applyPolicy() { this->checked.applyPolicy(this->policy, this->now); }

    void announce(std::uint32_t id, Incarnation incarnation, bool departing = false)
    {
        TargetInfo target;
        target.id = TargetId(id);
        target.incarnation = incarnation;
        target.failureDomain = static_cast<std::uint16_t>(id % 3);
        target.rack = static_cast<std::uint16_t>(id % 6);
        target.total = Resources{{8000, 16000, 0, 8, 64}};
        target.departing = departing;
        this->checked.targetChanged(target, this->now);
    }

    /// A task of one slot that needs as many MB of memory as thousandths of a core.
    TaskRequest task(std::uint32_t team, WorkClass workClass, std::int64_t milliCores)
    {
        TaskRequest request;
        request.id = TaskId(this->nextId++);
        request.job = JobId(idValue(request.id));
        request.team = TeamId(team);
        request.workClass = workClass;
        request.need = Resources{{milliCores, milliCores, 0, 1, 1}};
        return request;
    }

    TaskId submit(const TaskRequest &request)
    {
        return this->checked.submit(request, this->now) ? request.id : TaskId::None;
    }

    TaskId submit(std::uint32_t team, WorkClass workClass, std::int64_t milliCores)
    {
        return this->submit(this->task(team, workClass, milliCores));
    }

    void submitGang(std::uint32_t team, std::uint32_t size, std::int64_t milliCores)
    {
        TaskRequest request = this->task(team, WorkClass::Gang, milliCores);
        const JobId job = request.job;
        request.jobTasks = size;
        for (std::uint32_t i = 0; i < size; ++i) {
            if (i > 0)
                request.id = TaskId(this->nextId++);
            request.job = job;
            this->submit(request);
        }
    }

    std::vector<Decision> decide() { return this->checked.decide(this->now); }

    /// Advances the clock in steps; at each it calls \a beforeStep, then decide(). Tasks that are
    /// told to end are requeued, if `targetsObeyStops`.
    std::vector<Decision> run(Microseconds time, const std::function<void()> &beforeStep = {})
    {
        std::vector<Decision> all;
        const Instant end = this->now + time;
        while (this->now < end) {
            this->now += std::chrono::milliseconds(10);
            if (beforeStep)
                beforeStep();
            for (const Decision &decision : this->decide()) {
                all.push_back(decision);
                if (this->targetsObeyStops
                    && (decision.kind == DecisionKind::Checkpoint
                        || decision.kind == DecisionKind::Stop))
                    this->checked.requeue(decision.task, AttemptOutcome::Stopped, this->now);
            }
        }
        return all;
    }

    void end(TaskId task, AttemptOutcome end = AttemptOutcome::Succeeded)
    {
        this->checked.taskEnded(task, end, this->now);
    }

    bool isPlaced(TaskId task) const { return this->checked.placed.count(task) != 0; }
    TargetId targetOf(TaskId task) const { return this->checked.placed.at(task).target; }
    Reason reasonOf(TaskId task) const { return this->scheduler.explain(task).reason; }

    double share(std::uint32_t team) const
    {
        for (const TeamStatistics &entry : this->scheduler.statistics().teams) {
            if (entry.team == TeamId(team))
                return entry.share;
        }
        return 0.0;
    }

    FairScheduler scheduler;
    CheckedScheduler checked;
    Policy policy;
    Instant now{std::chrono::seconds(100)};
    bool targetsObeyStops = true; ///< targets end the tasks they are told to end

private:
    std::uint64_t nextId = 1;
};

inline std::size_t countOf(const std::vector<Decision> &decisions, DecisionKind kind)
{
    std::size_t count = 0;
    for (const Decision &decision : decisions)
        count += decision.kind == kind ? 1 : 0;
    return count;
}

} // namespace guavavalve::testing
