#include "controller/cellcontroller.h"

#include "controller/clusterstatemachine.h"
#include "controller/jobdescription.h"
#include "replicas/replicatedlog.h"

#include <string>

namespace guavavalve {

namespace {

/// The start deadline of requests that give none: from the team's section, or else the cell's.
std::int64_t defaultStartWithinMs(const ClusterState &cluster, const SubmitRequest &request)
{
    const TeamSection *team = cluster.configuration().team(request.team);
    const std::int64_t teamDefault =
        team == nullptr ? 0 : team->classPolicy(request.workClass).startWithinMs;
    if (teamDefault != 0)
        return teamDefault;
    return cluster.configuration().cell().classPolicy(request.workClass).startWithinMs;
}

} // namespace

bool CellController::joinPending(const PendingKey &key, const SubmitRequest &request,
                                 const Done<SubmitReply> &done)
{
    const auto pending = this->submits.find(key);
    if (pending == this->submits.end())
        return false;
    if (pending->second.request.digest == request.digest)
        pending->second.waiting.push_back(done);
    else
        done(failure(ErrorCode::Conflict, "the idempotency key belongs to a different request"));
    return true;
}

/// Looks up the sender, and refuses a job with too many tasks before any is queued. The replicated
/// state would refuse it too, but only after all its tasks had been queued here, which would delay
/// all other requests.
Result<CellController::Submitter> CellController::submitterOf(const SubmitRequest &request) const
{
    return this->state.read([&](const ClusterState &cluster) -> Result<Submitter> {
        const TeamRecord *team = cluster.teamNamed(request.team);
        if (team == nullptr) {
            return failure(ErrorCode::PermissionDenied,
                           "team " + request.team + " has no section in the configuration");
        }
        const std::int64_t maxTasks = cluster.configuration().cell().maxTasksPerJob;
        if (request.tasks == 0 || request.tasks > maxTasks) {
            return failure(ErrorCode::InvalidArgument,
                           "a job has 1 to " + std::to_string(maxTasks) + " tasks, not "
                               + std::to_string(request.tasks));
        }
        Submitter submitter;
        submitter.team = team->id;
        submitter.isResend =
            cluster.jobByIdempotencyKey(team->id, request.idempotencyKey) != nullptr;
        submitter.startWithinMs = request.startWithinMs != 0
            ? request.startWithinMs
            : defaultStartWithinMs(cluster, request);
        return submitter;
    });
}

void CellController::accept(SubmitRequest request, const Done<SubmitReply> &done)
{
    const PendingKey key{request.team, request.idempotencyKey};
    if (this->joinPending(key, request, done))
        return;
    const Result<Submitter> submitter = this->submitterOf(request);
    if (!submitter) {
        done(submitter.error());
        return;
    }
    const TeamId team = submitter.value().team;
    request.startWithinMs = submitter.value().startWithinMs;

    PendingSubmit submit;
    submit.time = this->time();
    submit.job = static_cast<JobId>(this->nextTaskValue);
    submit.request = std::move(request);
    submit.waiting.push_back(done);
    if (!submitter.value().isResend) {
        const Result<void> submitted = this->enqueueTasks(submit, team);
        if (!submitted) {
            done(submitted.error());
            return;
        }
    }
    this->nextTaskValue += submit.request.tasks;
    this->submitsByJob.emplace(submit.job, key);
    this->submits.emplace(key, std::move(submit));
    this->proposeAcceptance(key, team);
}

Result<void> CellController::enqueueTasks(const PendingSubmit &pending, TeamId team)
{
    const SubmitRequest &request = pending.request;
    TaskRequest task;
    task.job = pending.job;
    task.jobTasks = request.tasks;
    task.team = team;
    task.workClass = request.workClass;
    task.need = request.need;
    if (request.startWithinMs > 0)
        task.startBy = pending.time.now + Milliseconds(request.startWithinMs);
    task.declaredRunTime = Milliseconds(request.declaredRunTimeMs);
    task.repeatable = request.repeatable;
    for (std::uint32_t i = 0; i < request.tasks; ++i) {
        task.id = static_cast<TaskId>(idValue(pending.job) + i);
        Result<void> submitted = this->scheduler->submit(task, pending.time.now);
        if (submitted)
            continue;
        // A job is queued completely or not at all; nothing of it has been proposed yet.
        for (std::uint32_t j = 0; j < i; ++j) {
            this->scheduler->cancel(static_cast<TaskId>(idValue(pending.job) + j),
                                    pending.time.now);
        }
        return submitted;
    }
    return boost::outcome_v2::success();
}

void CellController::proposeAcceptance(const PendingKey &key, TeamId team)
{
    const PendingSubmit &submit = this->submits.at(key);
    const SubmitRequest &request = submit.request;
    AcceptJob command;
    command.first = submit.job;
    command.keyId = request.keyId;
    command.team = team;
    command.idempotencyKey = request.idempotencyKey;
    command.digest = request.digest;
    command.workClass = request.workClass;
    command.need = request.need;
    command.tasks = request.tasks;
    command.repeatable = request.repeatable;
    command.declaredRunTimeMs = request.declaredRunTimeMs;
    command.acceptedAt = submit.time.cellMs;
    if (request.startWithinMs > 0)
        command.startBy = submit.time.cellMs + request.startWithinMs;
    if (request.finishWithinMs > 0)
        command.finishBy = submit.time.cellMs + request.finishWithinMs;
    command.payload = request.payload;
    command.entry = request.entry;
    this->enqueue(std::move(command), [this, key](const Result<CommandValue> &outcome) {
        this->acceptanceCommitted(key, outcome);
    });
}

void CellController::acceptanceCommitted(const PendingKey &key, const Result<CommandValue> &outcome)
{
    const auto found = this->submits.find(key);
    if (found == this->submits.end())
        return;
    const PendingSubmit submit = std::move(found->second);
    this->submits.erase(found);
    this->submitsByJob.erase(submit.job);

    const auto *accepted = outcome ? std::get_if<JobAccepted>(&outcome.value()) : nullptr;
    const bool isNew = accepted != nullptr && accepted->job == submit.job;
    if (!isNew && this->leading) {
        const Instant now = this->options.clock();
        for (std::uint32_t i = 0; i < submit.request.tasks; ++i)
            this->scheduler->cancel(static_cast<TaskId>(idValue(submit.job) + i), now);
    }
    if (accepted == nullptr) {
        const Error error = outcome
            ? failure(ErrorCode::Internal, "the command's outcome is not a job's acceptance")
            : outcome.error();
        for (const auto &done : submit.waiting)
            done(error);
        return;
    }
    if (isNew && submit.request.finishWithinMs > 0) {
        this->finishDeadlines.emplace(submit.time.now + Milliseconds(submit.request.finishWithinMs),
                                      submit.job);
    }
    const SubmitReply reply = this->replyTo(submit.request, *accepted);
    for (std::size_t i = 0; i < submit.waiting.size(); ++i) {
        SubmitReply own = reply;
        if (i > 0) {
            // Only one entry may start the attempts. The others wait for the job's end instead.
            own.joined = true;
            own.dispatches.clear();
        }
        submit.waiting[i](std::move(own));
    }
}

SubmitReply CellController::replyTo(const SubmitRequest &request, const JobAccepted &accepted)
{
    SubmitReply reply;
    reply.job = accepted.job;
    reply.joined = accepted.joined;
    const DispatchAction action = accepted.joined ? DispatchAction::Follow : DispatchAction::Start;
    this->state.read([&](const ClusterState &cluster) {
        const JobRecord *job = cluster.job(accepted.job);
        for (std::size_t i = 0; job != nullptr && i < job->tasks.size(); ++i) {
            const TaskRecord &task = job->tasks[i];
            if (task.state != TaskState::Placed || task.dispatcher != request.entry)
                continue;
            reply.dispatches.push_back(describeOrder(cluster, *job, i, action));
            if (action == DispatchAction::Start)
                this->startedByReply.insert(job->taskId(i));
        }
    });
    return reply;
}

const CellController::PendingSubmit *CellController::pendingOf(TaskId task) const
{
    auto after = this->submitsByJob.upper_bound(static_cast<JobId>(idValue(task)));
    if (after == this->submitsByJob.begin())
        return nullptr;
    const PendingSubmit &submit = this->submits.at((--after)->second);
    const bool within = idValue(task) < idValue(submit.job) + submit.request.tasks;
    return within ? &submit : nullptr;
}

void CellController::cancel(const std::string &team, JobId job, const Done<JobStatus> &done)
{
    const Result<JobStatus> status = this->statusOf(team, job);
    if (!status || status.value().finished) {
        done(status);
        return;
    }
    CancelJob command;
    command.job = job;
    command.cancelledAt = this->options.cellTime();
    this->enqueue(command, [this, team, job, done](const Result<CommandValue> &outcome) {
        if (!outcome) {
            done(outcome.error());
            return;
        }
        this->stopPlacedTasks(job);
        done(this->statusOf(team, job));
        this->jobChanged(job);
    });
}

void CellController::cancelOverdueJobs(Instant now)
{
    while (!this->finishDeadlines.empty() && this->finishDeadlines.begin()->first <= now) {
        const JobId job = this->finishDeadlines.begin()->second;
        this->finishDeadlines.erase(this->finishDeadlines.begin());
        this->cancel({}, job, [](const Result<JobStatus> &) {});
    }
}

void CellController::stopPlacedTasks(JobId job)
{
    const Instant now = this->options.clock();
    this->state.read([&](const ClusterState &cluster) {
        const JobRecord *record = cluster.job(job);
        for (std::size_t i = 0; record != nullptr && i < record->tasks.size(); ++i) {
            const TaskRecord &task = record->tasks[i];
            this->scheduler->cancel(record->taskId(i), now);
            if (task.state == TaskState::Placed) {
                this->outbox.put(task.dispatcher,
                                 describeOrder(cluster, *record, i, DispatchAction::Stop), now);
            }
        }
    });
}

} // namespace guavavalve
