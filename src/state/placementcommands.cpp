#include "state/clusterstate.h"
#include "state/clusterstatedetails.h"

#include <algorithm>
#include <set>

namespace guavavalve {
namespace internal {

namespace {

CommandOutcome attemptRecorded(const TaskRecord &task)
{
    AttemptRecorded recorded;
    recorded.state = task.state;
    recorded.ran = task.ran;
    return CommandValue(recorded);
}

Error taskNotFound(TaskId task)
{
    return failure(ErrorCode::NotFound, "there is no task " + idText(task));
}

/// Number of lost attempts, each with its target, after which a task fails.
constexpr std::uint16_t maxLostAttempts = 5;

bool isAnswer(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Succeeded || outcome == AttemptOutcome::Failed;
}

/// True if the answer of an attempt that was recorded as lost may still be accepted: no other
/// attempt was started since. This happens if the entry instance received the complete answer
/// before the target's lease expired, but could not report it in time. Without this rule, a short
/// network partition would leave an unrepeatable task in state Unknown although its answer is
/// available.
bool acceptsLateAnswer(const TaskRecord &task, const FinishedAttempt &last)
{
    return last.outcome == AttemptOutcome::Lost
        && (task.state == TaskState::Waiting || task.state == TaskState::Unknown);
}

void recordEnd(JobRecord &job, const EndAttempt &command)
{
    const auto at =
        std::lower_bound(job.ends.begin(), job.ends.end(), command.task,
                         [](const FinishedAttempt &end, TaskId id) { return end.task < id; });
    FinishedAttempt end;
    end.task = command.task;
    end.attempt = command.attempt;
    end.outcome = command.outcome;
    end.answerLength = command.answerLength;
    end.answerDigest = command.answerDigest.substr(0, maxIdBytes);
    end.message = command.message.substr(0, maxMessageBytes);
    if (at != job.ends.end() && at->task == command.task)
        *at = std::move(end);
    else
        job.ends.insert(at, std::move(end));
}

} // namespace

} // namespace internal

CommandOutcome ClusterState::applyOne(const PlaceTask &command)
{
    JobRecord *job = this->findJobOf(command.task);
    if (job == nullptr)
        return internal::taskNotFound(command.task);
    if (job->workClass == WorkClass::Gang)
        return failure(ErrorCode::InvalidArgument,
                       "task " + internal::idText(command.task)
                           + " belongs to a gang, whose tasks must be placed together");
    if (auto checked = this->checkPlacement(command, *job, PendingResources()); checked.has_error())
        return checked.error();
    this->applyPlacement(command, *job);
    return CommandValue(Nothing());
}

CommandOutcome ClusterState::applyOne(const PlaceGang &command)
{
    if (auto checked = this->checkGang(command); checked.has_error())
        return checked.error();
    JobRecord &job = *this->findJobOf(command.places.front().task);
    for (const PlaceTask &place : command.places)
        this->applyPlacement(place, job);
    return CommandValue(Nothing());
}

Result<void> ClusterState::checkGang(const PlaceGang &command) const
{
    if (command.places.empty())
        return failure(ErrorCode::InvalidArgument,
                       "the placement of a gang must name at least one task");
    const JobRecord *job = this->jobOf(command.places.front().task);
    if (job == nullptr)
        return internal::taskNotFound(command.places.front().task);
    const auto waiting =
        std::count_if(job->tasks.begin(), job->tasks.end(),
                      [](const TaskRecord &task) { return task.state == TaskState::Waiting; });
    if (static_cast<std::size_t>(waiting) != command.places.size())
        return failure(ErrorCode::Conflict,
                       "job " + internal::idText(job->id) + " has " + std::to_string(waiting)
                           + " waiting tasks, but the placement names "
                           + std::to_string(command.places.size()));
    std::set<TaskId> seen;
    PendingResources pending;
    for (const PlaceTask &place : command.places) {
        if (this->jobOf(place.task) != job || !seen.insert(place.task).second)
            return failure(
                ErrorCode::InvalidArgument,
                "the placement of a gang must name each task once, and only tasks of one job");
        if (auto checked = this->checkPlacement(place, *job, pending); checked.has_error())
            return checked.error();
        pending.byTarget[place.target] += job->need;
        pending.byTeam += job->need;
    }
    return boost::outcome_v2::success();
}

Result<void> ClusterState::checkPlacement(const PlaceTask &place, const JobRecord &job,
                                          const PendingResources &pending) const
{
    const TaskRecord &task = job.tasks[job.position(place.task)];
    if (task.state != TaskState::Waiting || place.attempt != task.attempt + 1)
        return failure(ErrorCode::Conflict,
                       "attempt " + std::to_string(place.attempt) + " of task "
                           + internal::idText(place.task) + " cannot be placed; the task is "
                           + std::string(enumName(taskStateNames, task.state)) + " after attempt "
                           + std::to_string(task.attempt));
    if (place.dispatcher.size() > internal::maxIdBytes)
        return failure(ErrorCode::InvalidArgument, "an entry's name is at most 256 bytes long");
    const TargetRecord *target = this->target(place.target);
    if (target == nullptr)
        return failure(ErrorCode::NotFound, "there is no target " + internal::idText(place.target));
    if (target->incarnation != place.incarnation || !target->takesWork())
        return failure(ErrorCode::Conflict,
                       "target " + internal::quoted(target->name)
                           + " takes no work under incarnation "
                           + std::to_string(place.incarnation));
    return this->checkResources(place, job, pending);
}

Result<void> ClusterState::checkResources(const PlaceTask &place, const JobRecord &job,
                                          const PendingResources &pending) const
{
    const TargetRecord &target = *this->target(place.target);
    Resources onTarget = target.used + job.need;
    const auto already = pending.byTarget.find(place.target);
    if (already != pending.byTarget.end())
        onTarget += already->second;
    if (!onTarget.fitsInto(target.total))
        return failure(ErrorCode::LimitExceeded,
                       "target " + internal::quoted(target.name) + " lacks the resources for task "
                           + internal::idText(place.task));
    const TeamRecord &team = *this->team(job.team);
    if (!(team.running + pending.byTeam + job.need).fitsInto(this->limitOf(job.team)))
        return failure(ErrorCode::LimitExceeded,
                       "task " + internal::idText(place.task)
                           + " would exceed the upper limit of team "
                           + internal::quoted(team.name));
    return boost::outcome_v2::success();
}

void ClusterState::applyPlacement(const PlaceTask &place, JobRecord &job)
{
    TaskRecord &task = job.tasks[job.position(place.task)];
    task.state = TaskState::Placed;
    task.attempt = place.attempt;
    task.target = place.target;
    task.dispatcher = place.dispatcher;
    if (job.firstPlacedAt == 0)
        job.firstPlacedAt = place.placedAt;

    TargetRecord &target = *this->findTarget(place.target);
    target.used += job.need;
    const auto at = std::lower_bound(target.tasks.begin(), target.tasks.end(), place.task);
    target.tasks.insert(at, place.task);

    TeamRecord &team = this->teamTable[job.team];
    team.running += job.need;
    ++team.placedTasks;
    --team.waitingTasks;
}

void ClusterState::releasePlacement(JobRecord &job, TaskId id)
{
    TaskRecord &task = job.tasks[job.position(id)];
    task.dispatcher.clear();
    TargetRecord &target = *this->findTarget(task.target);
    target.used -= job.need;
    target.tasks.erase(std::lower_bound(target.tasks.begin(), target.tasks.end(), id));
    TeamRecord &team = this->teamTable[job.team];
    team.running -= job.need;
    --team.placedTasks;
}

CommandOutcome ClusterState::applyOne(const EndAttempt &command)
{
    JobRecord *job = this->findJobOf(command.task);
    if (job == nullptr)
        return internal::taskNotFound(command.task);
    TaskRecord &task = job->tasks[job->position(command.task)];
    if (command.attempt == 0 || command.attempt != task.attempt)
        return failure(ErrorCode::Conflict,
                       "attempt " + std::to_string(command.attempt) + " of task "
                           + internal::idText(command.task) + " is not the current attempt, "
                           + std::to_string(task.attempt));
    if (task.state == TaskState::Placed) {
        this->endAttempt(*job, command);
        return internal::attemptRecorded(task);
    }
    const FinishedAttempt &last = *job->end(command.task);
    if (last.outcome == command.outcome)
        return internal::attemptRecorded(task);
    if (internal::isAnswer(command.outcome) && internal::acceptsLateAnswer(task, last)) {
        this->recordLateAnswer(*job, command);
        return internal::attemptRecorded(task);
    }
    return failure(ErrorCode::Conflict,
                   "attempt " + std::to_string(command.attempt) + " of task "
                       + internal::idText(command.task) + " has already ended as "
                       + std::string(enumName(attemptOutcomeNames, last.outcome)));
}

void ClusterState::endAttempt(JobRecord &job, const EndAttempt &end)
{
    internal::recordEnd(job, end);
    this->releasePlacement(job, end.task);
    this->applyOutcome(job, end.task, end.outcome, end.endedAt);
    const TaskState state = job.tasks[job.position(end.task)].state;
    if (end.outcome == AttemptOutcome::Lost && state == TaskState::Failed) {
        EndAttempt exhausted = end;
        exhausted.message = "given up after " + std::to_string(internal::maxLostAttempts)
            + " attempts were lost with their targets; the last: " + end.message;
        internal::recordEnd(job, exhausted);
    }
}

void ClusterState::recordLateAnswer(JobRecord &job, const EndAttempt &end)
{
    TaskRecord &task = job.tasks[job.position(end.task)];
    internal::recordEnd(job, end);
    if (task.state == TaskState::Waiting) {
        --this->teamTable[job.team].waitingTasks;
        this->applyOutcome(job, end.task, end.outcome, end.endedAt);
        return;
    }
    // The task already counts as finished, in state Unknown, so only its state changes.
    task.ran = Ran::Yes;
    task.state =
        end.outcome == AttemptOutcome::Succeeded ? TaskState::Succeeded : TaskState::Failed;
}

void ClusterState::applyOutcome(JobRecord &job, TaskId id, AttemptOutcome outcome, std::int64_t at)
{
    TaskRecord &task = job.tasks[job.position(id)];
    if (internal::isAnswer(outcome)) {
        task.ran = Ran::Yes;
        this->finishTask(
            job, task,
            outcome == AttemptOutcome::Succeeded ? TaskState::Succeeded : TaskState::Failed, at);
        return;
    }
    if (outcome == AttemptOutcome::Stopped)
        task.ran = Ran::Yes;
    else if (outcome == AttemptOutcome::Lost && task.ran == Ran::No)
        task.ran = Ran::Unknown;

    if (job.cancelled) {
        this->finishTask(job, task, TaskState::Cancelled, at);
    } else if (!job.repeatable && task.ran != Ran::No) {
        this->finishTask(job, task, TaskState::Unknown, at);
    } else if (outcome == AttemptOutcome::Lost && this->countLostAttempt(job, id)) {
        this->finishTask(job, task, TaskState::Failed, at);
    } else {
        task.state = TaskState::Waiting;
        ++this->teamTable[job.team].waitingTasks;
    }
}

/// Guards against a task that crashes every target on which it starts. Services are not counted:
/// over their lifetime they lose many targets for other reasons.
bool ClusterState::countLostAttempt(const JobRecord &job, TaskId id)
{
    return job.workClass != WorkClass::Service
        && ++this->lostAttempts[id] >= internal::maxLostAttempts;
}

void ClusterState::finishTask(JobRecord &job, TaskRecord &task, TaskState state, std::int64_t at)
{
    task.state = state;
    --job.unfinished;
    if (job.finished()) {
        job.finishedAt = at;
        this->lostAttempts.erase(this->lostAttempts.lower_bound(job.taskId(0)),
                                 this->lostAttempts.lower_bound(job.taskId(job.tasks.size())));
        job.payload.clear();
        job.payload.shrink_to_fit();
    }
}

CommandOutcome ClusterState::applyOne(const ReassignDispatcher &command)
{
    JobRecord *job = this->findJobOf(command.task);
    if (job == nullptr)
        return internal::taskNotFound(command.task);
    TaskRecord &task = job->tasks[job->position(command.task)];
    if (task.state != TaskState::Placed || task.attempt != command.attempt)
        return failure(ErrorCode::Conflict,
                       "attempt " + std::to_string(command.attempt) + " of task "
                           + internal::idText(command.task) + " is not in progress");
    if (command.entry.size() > internal::maxIdBytes)
        return failure(ErrorCode::InvalidArgument, "an entry's name is at most 256 bytes long");
    task.dispatcher = command.entry;
    return CommandValue(Nothing());
}

} // namespace guavavalve
