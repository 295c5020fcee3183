#include "controller/cellcontroller.h"

#include "controller/clusterstatemachine.h"
#include "controller/jobdescription.h"
#include "replicas/replicatedlog.h"

#include <algorithm>

namespace guavavalve {

void CellController::decide()
{
    const Instant now = this->options.clock();
    std::vector<Decision> decisions;
    this->scheduler->decide(now, decisions);
    std::vector<Decision> places;
    for (const Decision &decision : decisions) {
        switch (decision.kind) {
        case DecisionKind::Place:
            places.push_back(decision);
            break;
        case DecisionKind::Refuse:
            this->refuse(decision);
            break;
        case DecisionKind::Throttle:
            this->orderPreemption(decision, DispatchAction::Throttle);
            break;
        case DecisionKind::Checkpoint:
            this->orderPreemption(decision, DispatchAction::Checkpoint);
            break;
        case DecisionKind::Stop:
            this->orderPreemption(decision, DispatchAction::Stop);
            break;
        }
    }
    this->proposePlacements(places);
}

void CellController::proposePlacements(const std::vector<Decision> &decisions)
{
    // The placements of a gang are adjacent and are committed together.
    for (std::size_t first = 0; first < decisions.size();) {
        const JobId job = this->gangOf(decisions[first].task);
        std::size_t last = first + 1;
        while (job != JobId::None && last < decisions.size()
               && this->gangOf(decisions[last].task) == job) {
            ++last;
        }
        PlaceGang gang;
        for (std::size_t i = first; i < last; ++i)
            gang.places.push_back(this->placement(decisions[i]));
        Command command = job == JobId::None ? Command(gang.places.front()) : Command(gang);
        this->enqueue(std::move(command),
                      [this, places = gang.places](const Result<CommandValue> &outcome) {
                          for (const PlaceTask &place : places)
                              this->placementCommitted(place, outcome);
                      });
        first = last;
    }
}

JobId CellController::gangOf(TaskId task) const
{
    // A job accepted in the same round is not in the replicated state yet.
    if (const PendingSubmit *submit = this->pendingOf(task))
        return submit->request.workClass == WorkClass::Gang ? submit->job : JobId::None;
    return this->state.read([&](const ClusterState &cluster) {
        const JobRecord *job = cluster.jobOf(task);
        const bool isGang = job != nullptr && job->workClass == WorkClass::Gang;
        return isGang ? job->id : JobId::None;
    });
}

PlaceTask CellController::placement(const Decision &decision)
{
    PlaceTask place;
    place.task = decision.task;
    place.target = decision.target;
    place.attempt = 1;
    place.placedAt = this->options.cellTime();
    InstanceId preferred;
    this->state.read([&](const ClusterState &cluster) {
        if (const JobRecord *job = cluster.jobOf(decision.task)) {
            place.attempt = job->tasks[job->position(decision.task)].attempt + 1;
            preferred = job->entry;
        }
        if (const TargetRecord *target = cluster.target(decision.target))
            place.incarnation = target->incarnation;
    });
    if (const PendingSubmit *submit = this->pendingOf(decision.task))
        preferred = submit->request.entry;
    const Instant now = this->options.clock();
    place.dispatcher = this->entryTable.pick(preferred, now);
    if (place.dispatcher.empty()) {
        // A new controller may place tasks before it has received a heartbeat from any entry.
        // Without a dispatcher the task would hold its place forever. The submitting entry gets
        // the order with its reply; without a heartbeat from it in time, another entry follows the
        // attempt.
        place.dispatcher = preferred;
        this->entryTable.expectHeartbeat(preferred, now + this->options.entryTimeout);
    }
    return place;
}

void CellController::placementCommitted(const PlaceTask &place, const Result<CommandValue> &outcome)
{
    if (!this->leading)
        return;
    const Instant now = this->options.clock();
    if (!outcome) {
        this->scheduler->placementRejected(place.task, now);
        const bool accepted = this->state.read(
            [&](const ClusterState &cluster) { return cluster.task(place.task) != nullptr; });
        if (!accepted)
            this->scheduler->cancel(place.task, now);
        return;
    }
    this->state.read([&](const ClusterState &cluster) {
        const JobRecord *job = cluster.jobOf(place.task);
        if (job == nullptr)
            return;
        const std::size_t position = job->position(place.task);
        if (job->tasks[position].state != TaskState::Placed)
            return;
        // The reply to the submitting entry contains the order itself. In case that reply is lost,
        // the entry is later told to follow the attempt and finds out whether it has started.
        const bool inReply = this->startedByReply.erase(place.task) > 0;
        const DispatchAction action = inReply ? DispatchAction::Follow : DispatchAction::Start;
        const Instant sendAt = inReply ? now + this->options.orderRetry : now;
        this->outbox.put(place.dispatcher, describeOrder(cluster, *job, position, action), sendAt);
    });
}

void CellController::refuse(const Decision &decision)
{
    RefuseJob command;
    command.code = decision.error;
    command.message =
        std::string("not run: ") + std::string(enumName(reasonNames, decision.reason));
    command.retryAfterMs = decision.retryAfter.count();
    command.refusedAt = this->options.cellTime();
    if (const PendingSubmit *submit = this->pendingOf(decision.task))
        command.job = submit->job;
    this->state.read([&](const ClusterState &cluster) {
        if (const JobRecord *job = cluster.jobOf(decision.task))
            command.job = job->id;
    });
    const JobId job = command.job;
    this->enqueue(std::move(command), [this, job](const Result<CommandValue> &outcome) {
        if (outcome && this->leading)
            this->jobChanged(job);
    });
}

void CellController::orderPreemption(const Decision &decision, DispatchAction action)
{
    const Instant now = this->options.clock();
    this->state.read([&](const ClusterState &cluster) {
        const JobRecord *job = cluster.jobOf(decision.task);
        if (job == nullptr)
            return;
        const std::size_t position = job->position(decision.task);
        const TaskRecord &task = job->tasks[position];
        if (task.state == TaskState::Placed)
            this->outbox.put(task.dispatcher, describeOrder(cluster, *job, position, action), now);
    });
}

void CellController::recordEnd(const AttemptEnd &end, const Done<Nothing> &done)
{
    EndAttempt command;
    command.task = end.task;
    command.attempt = end.attempt;
    command.outcome = end.outcome;
    command.answerLength = end.answerLength;
    command.answerDigest = end.answerDigest;
    command.message = end.message;
    command.endedAt = this->options.cellTime();
    this->enqueue(std::move(command), [this, end, done](const Result<CommandValue> &outcome) {
        if (!outcome) {
            done(outcome.error());
            return;
        }
        done(Nothing());
        if (this->leading)
            this->handleAttemptEnd(end.task, end.outcome);
    });
}

void CellController::handleAttemptEnd(TaskId task, AttemptOutcome outcome)
{
    const Instant now = this->options.clock();
    JobId job = JobId::None;
    TaskState taskState = TaskState::Unknown;
    this->state.read([&](const ClusterState &cluster) {
        if (const JobRecord *record = cluster.jobOf(task)) {
            job = record->id;
            taskState = record->tasks[record->position(task)].state;
        }
    });
    if (taskState == TaskState::Placed)
        return; // a repeated report about an earlier attempt
    this->outbox.drop(task);
    if (taskState == TaskState::Waiting)
        this->scheduler->requeue(task, outcome, now);
    else
        this->scheduler->taskEnded(task, outcome, now);
    if (job != JobId::None)
        this->jobChanged(job);
}

void CellController::sendDueOrders(Instant now)
{
    auto due = this->outbox.due(now, now + this->options.orderRetry);
    for (auto &[entry, orders] : due) {
        const std::string address = this->entryTable.address(entry);
        if (address.empty())
            continue; // no heartbeat yet, or dead: then the attempt is assigned to another entry
        std::vector<DispatchOrder> headers = orders;
        for (DispatchOrder &header : headers)
            header.payload.clear();
        this->options.sendOrders(
            address, std::move(orders),
            [this, headers = std::move(headers)](const Result<Nothing> &received) {
                if (!received)
                    return;
                this->loop.post([this, headers] {
                    for (const DispatchOrder &order : headers)
                        this->outbox.acknowledged(order.task, order.attempt, order.action);
                });
            });
    }
}

} // namespace guavavalve
