#include "state/clusterstate.h"
#include "state/clusterstatedetails.h"

#include <algorithm>
#include <set>

namespace guavavalve {
namespace internal {

namespace {

CommandOutcome recordedOf(const TaskRecord &task)
{
    AttemptRecorded recorded;
    recorded.state = task.state;
    recorded.ran = task.ran;
    return CommandValue(recorded);
}

Error noTask(TaskId task)
{
    return failure(ErrorCode::NotFound, "there is no task " + numberOf(task));
}

/// Attempts of one task that may be lost with their targets before it is given up.
constexpr std::uint16_t mostLostAttempts = 5;

bool isAnswer(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Succeeded || outcome == AttemptOutcome::Failed;
}

/// True if an answer of an attempt that was given up as lost may still be taken: the whole of it
/// had arrived before the target's lease was over, and nothing else was started since. Without
/// this a confirmation whose entry was cut off for a moment would end as unknown although its
/// answer is at hand.
bool mayStillAnswer(const TaskRecord &task, const FinishedAttempt &last)
{
    return last.outcome == AttemptOutcome::Lost
        && (task.state == TaskState::Waiting || task.state == TaskState::Unknown);
}

void keepEnd(JobRecord &job, const EndAttempt &command)
{
    const auto at =
        std::lower_bound(job.ends.begin(), job.ends.end(), command.task,
                         [](const FinishedAttempt &end, TaskId id) { return end.task < id; });
    FinishedAttempt end;
    end.task = command.task;
    end.attempt = command.attempt;
    end.outcome = command.outcome;
    end.answerLength = command.answerLength;
    end.answerDigest = command.answerDigest.substr(0, longestId);
    end.message = command.message.substr(0, longestMessage);
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
        return internal::noTask(command.task);
    if (job->workClass == WorkClass::Gang)
        return failure(ErrorCode::InvalidArgument,
                       "task " + internal::numberOf(command.task)
                           + " is of a gang, whose tasks are placed together");
    if (auto checked = this->checkPlace(command, *job, Taken()); checked.has_error())
        return checked.error();
    this->place(command, *job);
    return CommandValue(Nothing());
}

CommandOutcome ClusterState::applyOne(const PlaceGang &command)
{
    if (auto checked = this->checkGang(command); checked.has_error())
        return checked.error();
    JobRecord &job = *this->findJobOf(command.places.front().task);
    for (const PlaceTask &place : command.places)
        this->place(place, job);
    return CommandValue(Nothing());
}

Result<void> ClusterState::checkGang(const PlaceGang &command) const
{
    if (command.places.empty())
        return failure(ErrorCode::InvalidArgument, "a gang's placement names no task");
    const JobRecord *job = this->jobOf(command.places.front().task);
    if (job == nullptr)
        return internal::noTask(command.places.front().task);
    const auto waiting =
        std::count_if(job->tasks.begin(), job->tasks.end(),
                      [](const TaskRecord &task) { return task.state == TaskState::Waiting; });
    if (static_cast<std::size_t>(waiting) != command.places.size())
        return failure(ErrorCode::Conflict,
                       "job " + internal::numberOf(job->id) + " has " + std::to_string(waiting)
                           + " tasks waiting; a gang's are placed all at once");
    std::set<TaskId> seen;
    Taken taken;
    for (const PlaceTask &place : command.places) {
        if (this->jobOf(place.task) != job || !seen.insert(place.task).second)
            return failure(ErrorCode::InvalidArgument,
                           "a gang's placement names each task of one job once");
        if (auto checked = this->checkPlace(place, *job, taken); checked.has_error())
            return checked.error();
        taken.onTargets[place.target] += job->need;
        taken.byTeam += job->need;
    }
    return boost::outcome_v2::success();
}

Result<void> ClusterState::checkPlace(const PlaceTask &place, const JobRecord &job,
                                      const Taken &taken) const
{
    const TaskRecord &task = job.tasks[job.position(place.task)];
    if (task.state != TaskState::Waiting || place.attempt != task.attempt + 1)
        return failure(ErrorCode::Conflict,
                       "task " + internal::numberOf(place.task) + " is "
                           + std::string(enumName(taskStateNames, task.state)) + " after attempt "
                           + std::to_string(task.attempt) + "; attempt "
                           + std::to_string(place.attempt) + " cannot be placed");
    if (place.dispatcher.size() > internal::longestId)
        return failure(ErrorCode::InvalidArgument, "an entry's name is at most 256 bytes long");
    const TargetRecord *target = this->target(place.target);
    if (target == nullptr)
        return failure(ErrorCode::NotFound,
                       "there is no target " + internal::numberOf(place.target));
    if (target->incarnation != place.incarnation || !target->takesWork())
        return failure(ErrorCode::Conflict,
                       "target " + internal::quoted(target->name)
                           + " takes no work under incarnation "
                           + std::to_string(place.incarnation));
    return this->checkRoom(place, job, taken);
}

Result<void> ClusterState::checkRoom(const PlaceTask &place, const JobRecord &job,
                                     const Taken &taken) const
{
    const TargetRecord &target = *this->target(place.target);
    Resources onTarget = target.used + job.need;
    const auto already = taken.onTargets.find(place.target);
    if (already != taken.onTargets.end())
        onTarget += already->second;
    if (!onTarget.fitsInto(target.total))
        return failure(ErrorCode::LimitExceeded,
                       "target " + internal::quoted(target.name) + " has no room for task "
                           + internal::numberOf(place.task));
    const TeamRecord &team = *this->team(job.team);
    if (!(team.running + taken.byTeam + job.need).fitsInto(this->limitOf(job.team)))
        return failure(ErrorCode::LimitExceeded,
                       "task " + internal::numberOf(place.task) + " would take team "
                           + internal::quoted(team.name) + " past its upper limit");
    return boost::outcome_v2::success();
}

void ClusterState::place(const PlaceTask &place, JobRecord &job)
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

void ClusterState::unplace(JobRecord &job, TaskId id)
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
        return internal::noTask(command.task);
    TaskRecord &task = job->tasks[job->position(command.task)];
    if (command.attempt == 0 || command.attempt != task.attempt)
        return failure(ErrorCode::Conflict,
                       "attempt " + std::to_string(command.attempt) + " of task "
                           + internal::numberOf(command.task) + " is not the current one, "
                           + std::to_string(task.attempt));
    if (task.state == TaskState::Placed) {
        this->endAttempt(*job, command);
        return internal::recordedOf(task);
    }
    const FinishedAttempt &last = *job->end(command.task);
    if (last.outcome == command.outcome)
        return internal::recordedOf(task);
    if (internal::isAnswer(command.outcome) && internal::mayStillAnswer(task, last)) {
        this->takeLateAnswer(*job, command);
        return internal::recordedOf(task);
    }
    return failure(ErrorCode::Conflict,
                   "attempt " + std::to_string(command.attempt) + " of task "
                       + internal::numberOf(command.task) + " ended before as "
                       + std::string(enumName(attemptOutcomeNames, last.outcome)));
}

void ClusterState::endAttempt(JobRecord &job, const EndAttempt &end)
{
    internal::keepEnd(job, end);
    this->unplace(job, end.task);
    this->settle(job, end.task, end.outcome, end.endedAt);
    const TaskState state = job.tasks[job.position(end.task)].state;
    if (end.outcome == AttemptOutcome::Lost && state == TaskState::Failed) {
        EndAttempt given = end;
        given.message = "given up, since too many targets were lost while they ran it; the last: "
            + end.message;
        internal::keepEnd(job, given);
    }
}

void ClusterState::takeLateAnswer(JobRecord &job, const EndAttempt &end)
{
    TaskRecord &task = job.tasks[job.position(end.task)];
    internal::keepEnd(job, end);
    if (task.state == TaskState::Waiting) {
        --this->teamTable[job.team].waitingTasks;
        this->settle(job, end.task, end.outcome, end.endedAt);
        return;
    }
    // It had been counted as finished, as unknown; now more is known.
    task.ran = Ran::Yes;
    task.state =
        end.outcome == AttemptOutcome::Succeeded ? TaskState::Succeeded : TaskState::Failed;
}

void ClusterState::settle(JobRecord &job, TaskId id, AttemptOutcome outcome, std::int64_t at)
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
    } else if (outcome == AttemptOutcome::Lost && this->isLostTooOften(job, id)) {
        this->finishTask(job, task, TaskState::Failed, at);
    } else {
        task.state = TaskState::Waiting;
        ++this->teamTable[job.team].waitingTasks;
    }
}

/// Guards against a task that takes down each target that starts it. Services are not counted: over
/// their life they lose many targets.
bool ClusterState::isLostTooOften(const JobRecord &job, TaskId id)
{
    return job.workClass != WorkClass::Service
        && ++this->lostAttempts[id] >= internal::mostLostAttempts;
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
        return internal::noTask(command.task);
    TaskRecord &task = job->tasks[job->position(command.task)];
    if (task.state != TaskState::Placed || task.attempt != command.attempt)
        return failure(ErrorCode::Conflict,
                       "attempt " + std::to_string(command.attempt) + " of task "
                           + internal::numberOf(command.task) + " is over");
    if (command.entry.size() > internal::longestId)
        return failure(ErrorCode::InvalidArgument, "an entry's name is at most 256 bytes long");
    task.dispatcher = command.entry;
    return CommandValue(Nothing());
}

} // namespace guavavalve
