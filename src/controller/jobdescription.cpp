#include "controller/jobdescription.h"

#include "state/clusterstate.h"

#include <utility>

namespace guavavalve {

namespace {

TaskStatus describeTask(const ClusterState &state, const JobRecord &job, std::size_t position)
{
    const TaskRecord &task = job.tasks[position];
    TaskStatus status;
    status.task = job.taskId(position);
    status.state = task.state;
    status.attempt = task.attempt;
    status.ran = task.ran;
    if (const TargetRecord *target = state.target(task.target)) {
        status.target = target->name;
        status.targetAddress = target->address;
    }
    if (const FinishedAttempt *end = job.end(status.task)) {
        status.answerLength = end->answerLength;
        status.answerDigest = end->answerDigest;
        status.message = end->message;
    }
    if (job.refused && task.state == TaskState::Cancelled) {
        status.state = TaskState::Failed;
        status.refused = true;
        status.refusal = job.refusalCode;
        status.message = job.refusal;
        status.retryAfterMs = job.refusalRetryAfterMs;
    }
    return status;
}

} // namespace

JobStatus describeJob(const ClusterState &state, const JobRecord &job)
{
    JobStatus status;
    status.job = job.id;
    if (const TeamRecord *team = state.team(job.team))
        status.team = team->name;
    status.workClass = job.workClass;
    status.finished = job.finished();
    if (job.firstPlacedAt != 0)
        status.waitedMs = job.firstPlacedAt - job.acceptedAt;
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
        status.tasks.push_back(describeTask(state, job, i));
    return status;
}

DispatchOrder describeOrder(const ClusterState &state, const JobRecord &job, std::size_t position,
                            DispatchAction action)
{
    const TaskRecord &task = job.tasks[position];
    DispatchOrder order;
    order.action = action;
    order.task = job.taskId(position);
    order.job = job.id;
    order.attempt = task.attempt;
    order.target = task.target;
    if (const TargetRecord *target = state.target(task.target)) {
        order.incarnation = target->incarnation;
        order.targetAddress = target->address;
    }
    if (job.finishBy != 0)
        order.finishWithinMs = job.finishBy - job.acceptedAt;
    if (action == DispatchAction::Start)
        order.payload = job.payload;
    return order;
}

} // namespace guavavalve
