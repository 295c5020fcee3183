#pragma once

#include "decisions/scheduler.h"

#include <map>
#include <set>
#include <string>

namespace guavavalve::testing {

/// Forwards every call to a scheduler and accounts for its decisions independently. Checks the
/// invariants with every decision; `violation` describes the first one that was broken.
class CheckedScheduler
{
public:
    explicit CheckedScheduler(Scheduler &inner)
        : scheduler(inner)
    {}

    void applyPolicy(const Policy &policy, Instant now)
    {
        this->limits.clear();
        for (const TeamPolicy &team : policy.teams)
            this->limits[team.team] = team.limit;
        this->scheduler.applyPolicy(policy, now);
    }

    void targetChanged(const TargetInfo &info, Instant now)
    {
        this->targets[info.id] = info;
        this->acceptingTargets.insert(info.id);
        if (info.departing)
            this->acceptingTargets.erase(info.id);
        this->scheduler.targetChanged(info, now);
    }

    void targetLost(TargetId id, Instant now)
    {
        this->acceptingTargets.erase(id);
        this->scheduler.targetLost(id, now);
    }

    bool submit(const TaskRequest &task, Instant now)
    {
        if (this->scheduler.submit(task, now).has_error())
            return false;
        this->waiting[task.id] = task;
        return true;
    }

    void taskEnded(TaskId id, AttemptOutcome end, Instant now)
    {
        this->release(id);
        this->waiting.erase(id);
        this->scheduler.taskEnded(id, end, now);
    }

    void requeue(TaskId id, AttemptOutcome end, Instant now)
    {
        const auto task = this->placed.find(id);
        if (task != this->placed.end() && this->cancelled.count(id) == 0)
            this->waiting[id] = task->second.request;
        this->release(id);
        this->scheduler.requeue(id, end, now);
    }

    void placementRejected(TaskId id, Instant now)
    {
        const auto task = this->placed.find(id);
        if (task == this->placed.end())
            return;
        std::set<TaskId> undone{id};
        for (const auto &[other, place] : this->placed) {
            if (task->second.request.workClass == WorkClass::Gang
                && place.request.job == task->second.request.job
                && place.round == task->second.round)
                undone.insert(other);
        }
        for (const TaskId other : undone) {
            if (this->cancelled.count(other) == 0)
                this->waiting[other] = this->placed[other].request;
            this->release(other);
        }
        this->scheduler.placementRejected(id, now);
    }

    bool cancel(TaskId id, Instant now)
    {
        const bool wasWaiting = this->scheduler.cancel(id, now);
        if (wasWaiting != (this->waiting.erase(id) == 1))
            this->recordViolation(
                "cancel() disagrees with the accounting about whether the task waits");
        if (this->placed.count(id) != 0)
            this->cancelled.insert(id);
        return wasWaiting;
    }

    std::vector<Decision> decide(Instant now)
    {
        std::vector<Decision> decisions;
        this->scheduler.decide(now, decisions);
        ++this->round;
        for (const Decision &decision : decisions)
            this->apply(decision);
        this->checkGangs(decisions);
        return decisions;
    }

    struct Place
    {
        TaskRequest request;
        Resources charge;
        TargetId target = TargetId::None;
        std::uint64_t round = 0;
    };

    Scheduler &scheduler;
    std::map<TaskId, TaskRequest> waiting;
    std::map<TaskId, Place> placed;
    std::map<TargetId, TargetInfo> targets;
    std::set<TargetId> acceptingTargets; ///< announced and not departing
    std::map<TargetId, Resources> placedOnTarget;
    std::map<TeamId, Resources> placedByTeam;
    std::map<TeamId, Resources> limits;
    std::string violation;

private:
    void recordViolation(const std::string &text)
    {
        if (this->violation.empty())
            this->violation = text;
    }

    void release(TaskId id)
    {
        const auto task = this->placed.find(id);
        if (task == this->placed.end())
            return;
        this->placedOnTarget[task->second.target] -= task->second.charge;
        this->placedByTeam[task->second.request.team] -= task->second.charge;
        this->placed.erase(task);
        this->cancelled.erase(id);
    }

    void apply(const Decision &decision)
    {
        if (decision.kind == DecisionKind::Refuse) {
            if (this->waiting.erase(decision.task) != 1)
                this->recordViolation("a task that did not wait was refused");
            return;
        }
        if (decision.kind == DecisionKind::Place)
            return this->place(decision);
        const auto task = this->placed.find(decision.task);
        if (task == this->placed.end())
            return this->recordViolation("a task that is not placed was preempted");
        if (!task->second.request.repeatable)
            this->recordViolation("a task that is not repeatable was preempted");
    }

    void place(const Decision &decision)
    {
        const auto task = this->waiting.find(decision.task);
        if (task == this->waiting.end())
            return this->recordViolation("a task that did not wait was placed");
        if (this->acceptingTargets.count(decision.target) == 0)
            this->recordViolation("a task was placed on a target that accepts no new tasks");
        const TaskRequest request = task->second;
        this->waiting.erase(task);
        this->placed[decision.task] = Place{request, decision.charge, decision.target, this->round};
        Resources &used = this->placedOnTarget[decision.target];
        used += decision.charge;
        if (!used.fitsInto(this->targets[decision.target].total))
            this->recordViolation("the tasks placed on a target exceed its capacity");
        Resources &teamUsed = this->placedByTeam[request.team];
        teamUsed += decision.charge;
        const auto limit = this->limits.find(request.team);
        if (limit == this->limits.end() || !teamUsed.fitsInto(limit->second))
            this->recordViolation("a placement exceeds the upper limit of its team");
    }

    /// Checks that one decide() places either all unfinished tasks of a gang or none.
    void checkGangs(const std::vector<Decision> &decisions)
    {
        std::set<JobId> jobs;
        for (const Decision &decision : decisions) {
            const auto task = this->placed.find(decision.task);
            if (decision.kind == DecisionKind::Place && task != this->placed.end()
                && task->second.request.workClass == WorkClass::Gang)
                jobs.insert(task->second.request.job);
        }
        for (const auto &[id, request] : this->waiting) {
            if (request.workClass == WorkClass::Gang && jobs.count(request.job) != 0)
                this->recordViolation("a gang was placed only partially");
        }
    }

    std::set<TaskId> cancelled;
    std::uint64_t round = 0;
};

} // namespace guavavalve::testing
