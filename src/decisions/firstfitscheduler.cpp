#include "decisions/firstfitscheduler.h"

#include "decisions/shares.h"

#include <algorithm>

namespace guavavalve {

namespace {

/// Delay after which a refused caller should retry; the baseline does not estimate waits.
constexpr Milliseconds defaultRetryAfter{1000};

} // namespace

FirstFitScheduler::FirstFitScheduler(std::size_t lookAheadTasks)
    : lookAhead(lookAheadTasks)
{}

void FirstFitScheduler::applyPolicy(const Policy &newPolicy, Instant)
{
    this->policy = newPolicy;
    for (auto &[id, team] : this->teams)
        team.configured = false;
    for (const TeamPolicy &teamPolicy : newPolicy.teams) {
        Team &team = this->teams[teamPolicy.team];
        team.policy = teamPolicy;
        team.configured = true;
    }
}

void FirstFitScheduler::targetChanged(const TargetInfo &info, Instant)
{
    Target &target = this->targets[info.id];
    target.info = info;
    target.known = true;
}

void FirstFitScheduler::targetLost(TargetId id, Instant)
{
    const auto target = this->targets.find(id);
    if (target != this->targets.end())
        target->second.known = false;
}

bool FirstFitScheduler::fitsSomewhere(const TaskRequest &task) const
{
    if (this->targets.empty())
        return true; // no target has announced itself yet, so no size is known
    return std::any_of(this->targets.begin(), this->targets.end(), [&task](const auto &entry) {
        return entry.second.known && task.need.fitsInto(entry.second.info.total);
    });
}

Result<void> FirstFitScheduler::submit(const TaskRequest &request, Instant now)
{
    const auto team = this->teams.find(request.team);
    if (team == this->teams.end() || !team->second.configured)
        return failure(ErrorCode::NotFound, "the team is not configured; ask an operator");
    if (this->tasks.count(request.id) != 0)
        return failure(ErrorCode::Conflict, "a task with this ID already exists");
    if (!this->fitsSomewhere(request))
        return failure(ErrorCode::NeverFits, "no announced target is large enough for the task");
    if (!request.need.fitsInto(team->second.policy.limit))
        return failure(ErrorCode::LimitExceeded, "the task alone exceeds its team's upper limit");
    if (request.startBy <= now)
        return failure(ErrorCode::DeadlineExceeded, "the deadline to start has passed");
    if (team->second.waiting >= this->policy.of(request.workClass).maxWaiting) {
        Error error = failure(ErrorCode::LimitExceeded, "too many tasks of the team are waiting");
        error.retryAfter = defaultRetryAfter;
        return error;
    }
    Task &task = this->tasks[request.id];
    task.request = request;
    task.charge = request.need;
    this->joinGang(request);
    this->enqueue(task, false);
    return boost::outcome_v2::success();
}

void FirstFitScheduler::restorePlaced(const TaskRequest &request, const Resources &charge,
                                      TargetId target, Instant)
{
    Task &task = this->tasks[request.id];
    task.request = request;
    task.charge = charge;
    this->joinGang(request);
    this->setPlaced(task, target);
}

void FirstFitScheduler::joinGang(const TaskRequest &request)
{
    if (request.workClass != WorkClass::Gang)
        return;
    Gang &gang = this->gangs[request.job];
    ++gang.submitted;
    ++gang.outstanding;
}

void FirstFitScheduler::enqueue(Task &task, bool front)
{
    const auto where = front ? this->queue.begin() : this->queue.end();
    task.position = this->queue.insert(where, task.request.id);
    Team &team = this->teams[task.request.team];
    ++team.waiting;
    team.waitingNeed += task.request.need;
    ++this->classes[static_cast<std::size_t>(task.request.workClass)].waiting;
    if (task.request.workClass == WorkClass::Gang)
        this->gangs[task.request.job].waiting.push_back(task.request.id);
}

void FirstFitScheduler::dequeue(Task &task)
{
    this->queue.erase(task.position);
    Team &team = this->teams[task.request.team];
    --team.waiting;
    team.waitingNeed -= task.request.need;
    --this->classes[static_cast<std::size_t>(task.request.workClass)].waiting;
    if (task.request.workClass == WorkClass::Gang) {
        auto &waiting = this->gangs[task.request.job].waiting;
        waiting.erase(std::find(waiting.begin(), waiting.end(), task.request.id));
    }
}

void FirstFitScheduler::setPlaced(Task &task, TargetId target)
{
    task.target = target;
    this->targets[target].placed += task.charge;
    Team &team = this->teams[task.request.team];
    team.placed += task.charge;
    ++team.running;
    ++this->classes[static_cast<std::size_t>(task.request.workClass)].running;
}

void FirstFitScheduler::release(Task &task)
{
    this->targets[task.target].placed -= task.charge;
    Team &team = this->teams[task.request.team];
    team.placed -= task.charge;
    --team.running;
    --this->classes[static_cast<std::size_t>(task.request.workClass)].running;
    task.target = TargetId::None;
}

void FirstFitScheduler::forget(Tasks::iterator task)
{
    const TaskRequest &request = task->second.request;
    if (request.workClass == WorkClass::Gang && --this->gangs[request.job].outstanding == 0)
        this->gangs.erase(request.job);
    this->tasks.erase(task);
}

void FirstFitScheduler::taskEnded(TaskId id, AttemptOutcome, Instant)
{
    const auto task = this->tasks.find(id);
    if (task == this->tasks.end())
        return;
    if (task->second.target == TargetId::None)
        this->dequeue(task->second);
    else
        this->release(task->second);
    this->forget(task);
}

void FirstFitScheduler::requeue(TaskId id, AttemptOutcome, Instant)
{
    const auto task = this->tasks.find(id);
    if (task == this->tasks.end() || task->second.target == TargetId::None)
        return;
    this->release(task->second);
    if (task->second.cancelled)
        this->forget(task);
    else
        this->enqueue(task->second, true);
}

void FirstFitScheduler::placementRejected(TaskId id, Instant now)
{
    const auto task = this->tasks.find(id);
    if (task == this->tasks.end() || task->second.target == TargetId::None)
        return;
    if (task->second.request.workClass != WorkClass::Gang)
        return this->requeue(id, AttemptOutcome::Stopped, now);
    std::vector<TaskId> members;
    for (const auto &[memberId, member] : this->tasks) {
        if (member.request.job == task->second.request.job && member.target != TargetId::None)
            members.push_back(memberId);
    }
    for (const TaskId member : members)
        this->requeue(member, AttemptOutcome::Stopped, now);
}

bool FirstFitScheduler::cancel(TaskId id, Instant)
{
    const auto task = this->tasks.find(id);
    if (task == this->tasks.end())
        return false;
    if (task->second.target != TargetId::None) {
        task->second.cancelled = true;
        return false;
    }
    this->dequeue(task->second);
    this->forget(task);
    return true;
}

void FirstFitScheduler::usageReported(TaskId, const Resources &, Instant)
{
    // The baseline relies on the declared sizes.
}

bool FirstFitScheduler::withinLimit(const Task &task) const
{
    const Team &team = this->teams.at(task.request.team);
    return team.configured && (team.placed + task.charge).fitsInto(team.policy.limit);
}

FirstFitScheduler::Target *FirstFitScheduler::firstFit(const Task &task)
{
    for (auto &[id, target] : this->targets) {
        if (target.known && !target.info.departing
            && task.charge.fitsInto(target.info.total - target.placed))
            return &target;
    }
    return nullptr;
}

bool FirstFitScheduler::place(Task &task, std::vector<Decision> &out)
{
    Target *target = this->withinLimit(task) ? this->firstFit(task) : nullptr;
    if (target == nullptr)
        return false;
    this->dequeue(task);
    this->setPlaced(task, target->info.id);
    ++this->classes[static_cast<std::size_t>(task.request.workClass)].placed;
    Decision decision;
    decision.task = task.request.id;
    decision.target = target->info.id;
    decision.charge = task.charge;
    decision.reason = Reason::FirstFit;
    out.push_back(decision);
    return true;
}

bool FirstFitScheduler::placeGang(JobId job, std::vector<Decision> &out)
{
    const Gang &gang = this->gangs.at(job);
    const Task &first = this->tasks.at(gang.waiting.front());
    if (gang.submitted < first.request.jobTasks || gang.outstanding > gang.waiting.size())
        return false;
    const std::vector<TaskId> members = gang.waiting;
    const std::size_t before = out.size();
    const auto isPlaced = [this, &out](TaskId id) { return this->place(this->tasks.at(id), out); };
    if (std::all_of(members.begin(), members.end(), isPlaced))
        return true;
    for (std::size_t i = out.size(); i > before; --i) {
        Task &task = this->tasks.at(out[i - 1].task);
        this->release(task);
        this->enqueue(task, true);
        --this->classes[static_cast<std::size_t>(WorkClass::Gang)].placed;
    }
    out.resize(before);
    return false;
}

void FirstFitScheduler::refuseExpired(Instant now, std::vector<Decision> &out)
{
    std::vector<TaskId> expired;
    for (const TaskId id : this->queue) {
        if (this->tasks.at(id).request.startBy <= now)
            expired.push_back(id);
    }
    for (const TaskId id : expired) {
        Decision decision;
        decision.kind = DecisionKind::Refuse;
        decision.task = id;
        decision.reason = Reason::DeadlinePassed;
        decision.error = ErrorCode::DeadlineExceeded;
        decision.retryAfter = defaultRetryAfter;
        out.push_back(decision);
        const auto task = this->tasks.find(id);
        ++this->classes[static_cast<std::size_t>(task->second.request.workClass)].refused;
        this->dequeue(task->second);
        this->forget(task);
    }
}

void FirstFitScheduler::decide(Instant now, std::vector<Decision> &out)
{
    this->refuseExpired(now, out);
    std::vector<TaskId> candidates;
    for (const TaskId id : this->queue) {
        if (candidates.size() >= this->lookAhead)
            break;
        candidates.push_back(id);
    }
    for (const TaskId id : candidates) {
        Task &task = this->tasks.at(id);
        if (task.target != TargetId::None)
            continue;
        if (task.request.workClass == WorkClass::Gang)
            this->placeGang(task.request.job, out);
        else
            this->place(task, out);
    }
}

Instant FirstFitScheduler::nextWakeup() const
{
    Instant next = Instant::max();
    for (const TaskId id : this->queue)
        next = std::min(next, this->tasks.at(id).request.startBy);
    return next;
}

Explanation FirstFitScheduler::explain(TaskId id) const
{
    Explanation explanation;
    const auto task = this->tasks.find(id);
    if (task == this->tasks.end()) {
        explanation.text = "unknown task";
        return explanation;
    }
    explanation.target = task->second.target;
    if (task->second.target != TargetId::None) {
        explanation.state = Explanation::State::Placed;
        explanation.reason = Reason::FirstFit;
        explanation.text = "placed on the first target with enough free capacity";
        return explanation;
    }
    explanation.state = Explanation::State::Waiting;
    explanation.reason = this->withinLimit(task->second) ? Reason::NoRoom : Reason::TeamLimit;
    explanation.text = explanation.reason == Reason::NoRoom
        ? "waits: no target has room for it"
        : "waits: it would exceed the upper limit of its team";
    return explanation;
}

Statistics FirstFitScheduler::statistics() const
{
    Statistics statistics;
    statistics.classes = this->classes;
    for (const auto &[id, target] : this->targets) {
        if (!target.known)
            continue;
        ++statistics.targets;
        statistics.departing += target.info.departing ? 1 : 0;
        statistics.total += target.info.total;
        statistics.placed += target.placed;
    }
    statistics.packing = statistics.placed.dominantShare(statistics.total);
    std::vector<internal::TeamDemand> demands;
    for (const auto &[id, team] : this->teams) {
        demands.push_back(internal::TeamDemand{team.policy, team.placed, team.waitingNeed});
        TeamStatistics entry;
        entry.team = id;
        entry.placed = team.placed;
        entry.limit = team.policy.limit;
        entry.running = team.running;
        entry.waiting = team.waiting;
        statistics.teams.push_back(entry);
    }
    internal::fillShares(statistics, demands);
    return statistics;
}

} // namespace guavavalve
