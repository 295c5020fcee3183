#include "state/clusterstate.h"
#include "state/clusterstatedetails.h"

#include <algorithm>
#include <utility>

namespace guavavalve {
namespace internal {

namespace {

Result<void> checkFields(const AcceptJob &command, const CellSection &cell)
{
    if (command.tasks == 0 || command.tasks > cell.maxTasksPerJob)
        return failure(ErrorCode::InvalidArgument,
                       "a job has 1 to " + std::to_string(cell.maxTasksPerJob) + " tasks, not "
                           + std::to_string(command.tasks));
    if (!command.need.isNonNegative() || !command.need.fitsInto(unlimitedResources()))
        return failure(ErrorCode::InvalidArgument,
                       "a task's need must be from 0 to 2^53 of each resource");
    if (command.payload.size() > static_cast<std::size_t>(cell.maxPayloadBytes))
        return failure(ErrorCode::InvalidArgument,
                       "a payload may have at most " + std::to_string(cell.maxPayloadBytes)
                           + " bytes, not " + std::to_string(command.payload.size()));
    if (command.idempotencyKey.empty() || command.idempotencyKey.size() > maxIdBytes
        || command.digest.size() > maxIdBytes || command.entry.size() > maxIdBytes)
        return failure(ErrorCode::InvalidArgument,
                       "a job needs an idempotency key of 1 to 256 bytes; its digest and "
                       "entry name may have at most 256 bytes");
    return boost::outcome_v2::success();
}

/// The resources that must be available at the same time: those of all tasks for a gang, of one
/// task otherwise.
Resources concurrentNeed(const AcceptJob &command)
{
    Resources need = command.need;
    if (command.workClass == WorkClass::Gang) {
        for (std::int64_t &amount : need.amounts)
            amount *= command.tasks;
    }
    return need;
}

/// True if \a need times \a tasks does not exceed the unlimited amount, and so cannot overflow.
bool multipliesWithinBounds(const Resources &need, std::uint32_t tasks)
{
    for (const std::int64_t amount : need.amounts) {
        if (amount > unlimitedAmount / static_cast<std::int64_t>(tasks))
            return false;
    }
    return true;
}

} // namespace

} // namespace internal

CommandOutcome ClusterState::applyOne(const AcceptJob &command)
{
    const TeamRecord *team = this->team(command.team);
    const KeyRecord *key = this->document.key(command.keyId);
    if (team == nullptr || key == nullptr || key->withdrawn || key->team != team->name)
        return failure(ErrorCode::Unauthenticated,
                       "key " + internal::quoted(command.keyId)
                           + " is unknown, withdrawn or belongs to another team");
    if (const JobRecord *first = this->jobByIdempotencyKey(command.team, command.idempotencyKey)) {
        if (first->digest != command.digest)
            return failure(ErrorCode::Conflict,
                           "idempotency key " + internal::quoted(command.idempotencyKey)
                               + " was already used for another request, job "
                               + internal::idText(first->id));
        JobAccepted joined;
        joined.job = first->id;
        joined.joined = true;
        return CommandValue(joined);
    }
    if (auto checked = this->checkJob(command); checked.has_error())
        return checked.error();
    if (auto checked = this->checkTeamPolicy(command, *team); checked.has_error())
        return checked.error();

    JobRecord job;
    job.id = command.first;
    job.team = command.team;
    job.workClass = command.workClass;
    job.repeatable = command.repeatable;
    job.unfinished = command.tasks;
    job.need = command.need;
    job.declaredRunTimeMs = command.declaredRunTimeMs;
    job.acceptedAt = command.acceptedAt;
    job.startBy = command.startBy;
    job.finishBy = command.finishBy;
    job.keyId = command.keyId;
    job.idempotencyKey = command.idempotencyKey;
    job.digest = command.digest;
    job.payload = command.payload;
    job.entry = command.entry;
    job.tasks.resize(command.tasks);
    this->nextTaskId = static_cast<TaskId>(idValue(command.first) + command.tasks);
    this->teamTable[command.team].waitingTasks += command.tasks;
    this->jobsByIdempotencyKey[{command.team, command.idempotencyKey}] = command.first;
    this->jobTable.emplace(command.first, std::move(job));
    JobAccepted accepted;
    accepted.job = command.first;
    return CommandValue(accepted);
}

Result<void> ClusterState::checkJob(const AcceptJob &command) const
{
    if (auto checked = internal::checkFields(command, this->document.cell()); checked.has_error())
        return checked.error();
    const std::uint64_t first = idValue(command.first);
    if (first >> internal::shardShift != this->shardNumber || first < idValue(this->nextTaskId)
        || (first & internal::counterMask) > internal::counterMask - command.tasks)
        return failure(ErrorCode::Conflict,
                       "job ID " + internal::idText(command.first)
                           + " is not available; the next one of this shard is "
                           + internal::idText(this->nextTaskId));
    return boost::outcome_v2::success();
}

Result<void> ClusterState::checkTeamPolicy(const AcceptJob &command, const TeamRecord &team) const
{
    const TeamSection &policy = *this->document.team(team.name);
    const CellSection &cell = this->document.cell();
    const std::string className(enumName(workClassNames, command.workClass));
    if (!policy.classPolicy(command.workClass).enabled
        || !cell.classPolicy(command.workClass).enabled)
        return failure(ErrorCode::PermissionDenied,
                       "team " + internal::quoted(team.name) + " may not submit work of class "
                           + className);
    if (!internal::multipliesWithinBounds(command.need, command.tasks)
        || !internal::concurrentNeed(command).fitsInto(policy.limit))
        return failure(ErrorCode::LimitExceeded,
                       "the job needs more resources at once than the upper limit of team "
                           + internal::quoted(team.name));
    std::int64_t maxWaiting = cell.maxWaitingTasks;
    if (policy.maxWaitingTasks > 0)
        maxWaiting = std::min(maxWaiting, policy.maxWaitingTasks);
    if (static_cast<std::int64_t>(team.waitingTasks) + command.tasks > maxWaiting)
        return failure(ErrorCode::LimitExceeded,
                       "team " + internal::quoted(team.name) + " has "
                           + std::to_string(team.waitingTasks) + " tasks waiting; "
                           + std::to_string(command.tasks) + " more would exceed its limit of "
                           + std::to_string(maxWaiting));
    return boost::outcome_v2::success();
}

CommandOutcome ClusterState::applyOne(const CancelJob &command)
{
    const auto found = this->jobTable.find(command.job);
    if (found == this->jobTable.end()
        || (command.team != TeamId::None && found->second.team != command.team))
        return failure(ErrorCode::NotFound, "there is no job " + internal::idText(command.job));
    JobRecord &job = found->second;
    if (job.cancelled || job.finished())
        return CommandValue(Nothing());
    job.cancelled = true;
    this->cancelWaiting(job, command.cancelledAt);
    return CommandValue(Nothing());
}

CommandOutcome ClusterState::applyOne(const RefuseJob &command)
{
    const auto found = this->jobTable.find(command.job);
    if (found == this->jobTable.end())
        return failure(ErrorCode::NotFound, "there is no job " + internal::idText(command.job));
    JobRecord &job = found->second;
    const bool waits = std::any_of(job.tasks.begin(), job.tasks.end(), [](const TaskRecord &task) {
        return task.state == TaskState::Waiting;
    });
    if (!waits)
        return failure(ErrorCode::Conflict,
                       "job " + internal::idText(command.job) + " has no waiting task");
    job.refused = true;
    job.refusalCode = command.code;
    job.refusal = command.message.substr(0, internal::maxMessageBytes);
    job.refusalRetryAfterMs = command.retryAfterMs;
    this->cancelWaiting(job, command.refusedAt);
    return CommandValue(Nothing());
}

void ClusterState::cancelWaiting(JobRecord &job, std::int64_t at)
{
    TeamRecord &team = this->teamTable[job.team];
    for (TaskRecord &task : job.tasks) {
        if (task.state != TaskState::Waiting)
            continue;
        --team.waitingTasks;
        this->finishTask(job, task, TaskState::Cancelled, at);
    }
}

CommandOutcome ClusterState::applyOne(const ForgetJobs &command)
{
    for (const JobId id : command.jobs) {
        const auto found = this->jobTable.find(id);
        if (found == this->jobTable.end() || !found->second.finished())
            continue;
        this->jobsByIdempotencyKey.erase({found->second.team, found->second.idempotencyKey});
        this->jobTable.erase(found);
    }
    return CommandValue(Nothing());
}

} // namespace guavavalve
