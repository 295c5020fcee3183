#include "decisions/replayaccounting.h"

#include <algorithm>
#include <string>

namespace guavavalve::internal {

void ReplayAccounting::applyPolicy(const Policy &policy)
{
    this->limits.clear();
    for (const TeamPolicy &team : policy.teams)
        this->limits[team.team] = team.limit;
}

void ReplayAccounting::submitted(const TaskRequest &task, Instant now)
{
    TaskEntry &entry = this->tasks[task.id];
    entry.team = task.team;
    entry.prompt = task.workClass == WorkClass::Prompt;
    entry.gang = task.workClass == WorkClass::Gang;
    entry.job = task.job;
    entry.submittedAt = now;
}

void ReplayAccounting::restored(const TaskRequest &task, const Resources &charge, TargetId target,
                                Instant now)
{
    this->submitted(task, now);
    this->place(this->tasks[task.id], target, charge, now);
    this->tasks[task.id].started = true;
}

void ReplayAccounting::released(TaskId task)
{
    const auto item = this->tasks.find(task);
    if (item == this->tasks.end() || item->second.target == TargetId::None)
        return;
    TaskEntry &entry = item->second;
    this->placedOnTarget[entry.target] -= entry.charge;
    this->placedByTeam[entry.team] -= entry.charge;
    entry.target = TargetId::None;
}

void ReplayAccounting::rejected(TaskId task)
{
    const auto item = this->tasks.find(task);
    if (item == this->tasks.end() || item->second.target == TargetId::None)
        return;
    const TaskEntry first = item->second;
    this->released(task);
    if (!first.gang)
        return;
    for (const auto &[id, entry] : this->tasks) {
        if (entry.job == first.job && entry.placedAt == first.placedAt)
            this->released(id);
    }
}

void ReplayAccounting::place(TaskEntry &entry, TargetId target, const Resources &charge,
                             Instant now)
{
    entry.placedAt = now;
    entry.target = target;
    entry.charge = charge;
    this->placedOnTarget[target] += charge;
    this->placedByTeam[entry.team] += charge;
}

void ReplayAccounting::decided(const Decision &decision, Instant now)
{
    TaskEntry &entry = this->tasks[decision.task];
    switch (decision.kind) {
    case DecisionKind::Refuse:
        ++this->refused;
        return;
    case DecisionKind::Throttle:
    case DecisionKind::Checkpoint:
    case DecisionKind::Stop:
        ++this->preempted;
        return;
    case DecisionKind::Place:
        break;
    }
    ++this->placed;
    if (entry.target != TargetId::None)
        ++this->doublePlacements;
    this->place(entry, decision.target, decision.charge, now);
    if (!this->placedOnTarget[decision.target].fitsInto(this->totals[decision.target]))
        ++this->roomViolations;
    if (!this->placedByTeam[entry.team].fitsInto(this->limits[entry.team]))
        ++this->limitViolations;
    if (entry.prompt && !entry.started) {
        const std::chrono::duration<double, std::milli> wait = now - entry.submittedAt;
        this->promptWaitsMs.push_back(wait.count());
    }
    entry.started = true;
}

void ReplayAccounting::report(std::map<std::string, double> &measures) const
{
    measures["placed"] = static_cast<double>(this->placed);
    measures["refused"] = static_cast<double>(this->refused);
    measures["preempted"] = static_cast<double>(this->preempted);
    measures["room-breaches"] = static_cast<double>(this->roomViolations);
    measures["limit-breaches"] = static_cast<double>(this->limitViolations);
    measures["double-placements"] = static_cast<double>(this->doublePlacements);
    std::vector<double> waits = this->promptWaitsMs;
    std::sort(waits.begin(), waits.end());
    measures["prompt-wait-p99-ms"] = waits.empty() ? 0.0 : waits[waits.size() * 99 / 100];
}

} // namespace guavavalve::internal
