#include "state/clusterstate.h"
#include "state/clusterstatedetails.h"

#include <algorithm>
#include <utility>

namespace guavavalve {
namespace internal {

namespace {

Result<void> checkShape(const AcceptJob &command, const CellSection &cell)
{
    if (command.tasks == 0 || command.tasks > cell.maxTasksPerJob)
        return failure(ErrorCode::InvalidArgument,
                       "a job has 1 to " + std::to_string(cell.maxTasksPerJob) + " tasks, not "
                           + std::to_string(command.tasks));
    if (!command.need.isNonNegative() || !command.need.fitsInto(unlimitedResources()))
        return failure(ErrorCode::InvalidArgument,
                       "a task's need is not below zero and not beyond 2^53");
    if (command.payload.size() > static_cast<std::size_t>(cell.maxPayloadBytes))
        return failure(ErrorCode::InvalidArgument,
                       "a payload has at most " + std::to_string(cell.maxPayloadBytes)
                           + " bytes, not " + std::to_string(command.payload.size()));
    if (command.idempotencyKey.empty() || command.idempotencyKey.size() > longestId
        || command.digest.size() > longestId || command.entry.size() > longestId)
        return failure(ErrorCode::InvalidArgument,
                       "a job needs an idempotency key of 1 to 256 bytes");
    return boost::outcome_v2::success();
}

/// The need of what must run at once: all tasks of a gang, one of another job.
Resources needAtOnce(const AcceptJob &command)
{
    Resources need = command.need;
    if (command.workClass == WorkClass::Gang) {
        for (std::int64_t &amount : need.amounts)
            amount *= command.tasks;
    }
    return need;
}

/// True if a multiple of \a need by \a tasks stays a number.
bool multiplies(const Resources &need, std::uint32_t tasks)
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
                           + " is unknown, withdrawn or not this team's");
    if (const JobRecord *first = this->jobByIdempotencyKey(command.team, command.idempotencyKey)) {
        if (first->digest != command.digest)
            return failure(ErrorCode::Conflict,
                           "idempotency key " + internal::quoted(command.idempotencyKey)
                               + " stands for another request, job "
                               + internal::numberOf(first->id));
        JobAccepted joined;
        joined.job = first->id;
        joined.joined = true;
        return CommandValue(joined);
    }
    if (auto checked = this->checkJob(command); checked.has_error())
        return checked.error();
    if (auto checked = this->checkWaiting(command, *team); checked.has_error())
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
    this->next = static_cast<TaskId>(idValue(command.first) + command.tasks);
    this->teamTable[command.team].waitingTasks += command.tasks;
    this->jobsByKey[{command.team, command.idempotencyKey}] = command.first;
    this->jobTable.emplace(command.first, std::move(job));
    JobAccepted accepted;
    accepted.job = command.first;
    return CommandValue(accepted);
}

Result<void> ClusterState::checkJob(const AcceptJob &command) const
{
    if (auto checked = internal::checkShape(command, this->document.cell()); checked.has_error())
        return checked.error();
    const std::uint64_t first = idValue(command.first);
    if (first >> internal::shardShift != this->shardNumber || first < idValue(this->next)
        || (first & internal::counterMask) > internal::counterMask - command.tasks)
        return failure(ErrorCode::Conflict,
                       "identity " + internal::numberOf(command.first)
                           + " is taken; the next of this shard is "
                           + internal::numberOf(this->next));
    return boost::outcome_v2::success();
}

Result<void> ClusterState::checkWaiting(const AcceptJob &command, const TeamRecord &team) const
{
    const TeamSection &policy = *this->document.team(team.name);
    const CellSection &cell = this->document.cell();
    const std::string className(enumName(workClassNames, command.workClass));
    if (!policy.classPolicy(command.workClass).enabled
        || !cell.classPolicy(command.workClass).enabled)
        return failure(ErrorCode::PermissionDenied,
                       "team " + internal::quoted(team.name) + " may not submit work of class "
                           + className);
    if (!internal::multiplies(command.need, command.tasks)
        || !internal::needAtOnce(command).fitsInto(policy.limit))
        return failure(ErrorCode::LimitExceeded,
                       "the job needs more at once than the upper limit of team "
                           + internal::quoted(team.name));
    std::int64_t most = cell.maxWaitingTasks;
    if (policy.maxWaitingTasks > 0)
        most = std::min(most, policy.maxWaitingTasks);
    if (static_cast<std::int64_t>(team.waitingTasks) + command.tasks > most)
        return failure(ErrorCode::LimitExceeded,
                       "team " + internal::quoted(team.name) + " has "
                           + std::to_string(team.waitingTasks) + " tasks waiting and may have "
                           + std::to_string(most));
    return boost::outcome_v2::success();
}

CommandOutcome ClusterState::applyOne(const CancelJob &command)
{
    const auto found = this->jobTable.find(command.job);
    if (found == this->jobTable.end()
        || (command.team != TeamId::None && found->second.team != command.team))
        return failure(ErrorCode::NotFound, "there is no job " + internal::numberOf(command.job));
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
        return failure(ErrorCode::NotFound, "there is no job " + internal::numberOf(command.job));
    JobRecord &job = found->second;
    const bool waits = std::any_of(job.tasks.begin(), job.tasks.end(), [](const TaskRecord &task) {
        return task.state == TaskState::Waiting;
    });
    if (!waits)
        return failure(ErrorCode::Conflict,
                       "no task of job " + internal::numberOf(command.job) + " waits");
    job.refused = true;
    job.refusalCode = command.code;
    job.refusal = command.message.substr(0, internal::longestMessage);
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
        this->jobsByKey.erase({found->second.team, found->second.idempotencyKey});
        this->jobTable.erase(found);
    }
    return CommandValue(Nothing());
}

} // namespace guavavalve
