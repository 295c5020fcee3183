#include "workflows/sessions/targetsession.h"

#include <utility>

// Starts and stops of runs.

namespace guavavalve::workflows {

void TargetSession::start(StartOrder order, bool isTrial, bool isHeldInDoubt)
{
    const TaskAddress task = order.task;
    Run run;
    run.run = order.run;
    run.phase = Phase::Sending;
    run.placedAt = this->clock();
    run.startFence = this->fence;
    run.isHeldInDoubt = isHeldInDoubt;
    run.order = std::move(order);
    run.order.sendBy = run.placedAt + this->limits.unansweredStartLimit;
    this->runs[task] = std::move(run);
    if (isTrial)
        this->trialUntil = this->clock() + this->limits.earlyLossWindow;
    ++this->unansweredStarts;
    this->wake(); // the placement may have been under way when the target went to rest
    this->sendStart(task);
}

bool TargetSession::stop(const TaskAddress &task)
{
    const auto found = this->runs.find(task);
    if (found == this->runs.end() || found->second.phase == Phase::Over
        || found->second.isStopRequested)
        return false;
    found->second.isStopRequested = true;
    this->sendStop(task, found->second.run);
    return true;
}

void TargetSession::sendStart(const TaskAddress &task)
{
    const auto found = this->runs.find(task);
    if (found == this->runs.end() || found->second.phase != Phase::Sending
        || found->second.isStopRequested || this->isOver())
        return;
    Run &run = found->second;
    const bool isOverdue = this->clock() > run.placedAt + this->limits.startTimeout;
    run.order.leaseUntilMs = isOverdue ? 0 : this->leaseForStart();
    if (run.order.leaseUntilMs == 0) { // without answers, the end of a lease might never be known
        if (!run.maybeSent && (isOverdue || this->failures >= maxUnansweredPolls))
            this->giveUpUnsent(task, run);
        else if (isOverdue && run.wasListed)
            this->startAnswered(task, run, OrderReply::Settled);
        else if (isOverdue)
            this->resolveByStop(task, run);
        else
            this->runLater(this->limits.resendDelay, [this, task] { this->sendStart(task); });
        return;
    }
    const Attempt sent{run.run, this->fence, this->clock()};
    ++run.unansweredCopies;
    run.order.fence = sent.fence;
    run.startFence = sent.fence;
    this->recordGrant(sent.sentAt);
    run.copiesExpireAt = sent.sentAt + this->limits.longestOrderDelay;
    this->port.start(
        this->targetIdentity, run.order, sent.sentAt + this->limits.orderTimeout,
        [weak = this->weak_from_this(), task, sent](const Result<OrderAnswer> &answer) {
            const auto self = weak.lock();
            if (self && !self->hasEnded)
                self->onStart(task, sent, answer);
        });
}

void TargetSession::onStart(const TaskAddress &task, const Attempt &sent,
                            Result<OrderAnswer> answer)
{
    if (answer && this->isOfLaterClock(answer.value().reply, answer.value().clockMs, sent.sentAt)) {
        answer = unknownAnswer();
        this->laterClockSeen();
    }
    const bool isOver = isFinished(answer);
    if (isOver)
        this->finishGrant(sent.sentAt);
    if (isOver && answer)
        this->answered(answer.value().clockMs);
    const auto found = this->runs.find(task);
    if (found == this->runs.end() || found->second.run != sent.run)
        return;
    Run &run = found->second;
    // A copy that a later incarnation has answered may have been carried out there.
    if (isOver)
        --run.unansweredCopies;
    if (run.phase != Phase::Sending)
        return;
    if (!answer)
        this->startFailed(task, run, answer.error());
    else if (this->processReply(answer.value().reply, sent.fence))
        this->startAnswered(task, run, answer.value().reply);
}

void TargetSession::startAnswered(const TaskAddress &task, Run &run, OrderReply reply)
{
    switch (reply) {
    case OrderReply::Late:
    case OrderReply::Fenced:
        this->retryStart(task, run);
        return;
    case OrderReply::Done:
    case OrderReply::Settled:
        run.phase = Phase::Confirmed;
        --this->unansweredStarts;
        run.wasStarted = reply == OrderReply::Done;
        run.confirmedAt = this->clock();
        return;
    default:
        // An earlier copy of the order may still be carried out: the stop settles that first.
        run.wasRefused = reply == OrderReply::Refused;
        this->resolveByStop(task, run);
    }
}

/// Sends the start again if an earlier copy may have arrived. Otherwise the run is given up and its
/// task can be placed elsewhere at once, whereas waiting for the target would take the length of a
/// lease.
void TargetSession::startFailed(const TaskAddress &task, Run &run, const Error &error)
{
    const Instant now = this->clock();
    if (error.ran != Ran::No)
        run.maybeSent = true;
    else if (error.code != ErrorCode::LimitExceeded) // unless this side lacked connections
        this->unreachableUntil = now + this->limits.unansweredStartLimit;
    if (!run.maybeSent)
        this->giveUpUnsent(task, run);
    else
        this->retryStart(task, run);
    this->updateUsable();
}

void TargetSession::retryStart(const TaskAddress &task, Run &run)
{
    const bool isClosed = this->isEvacuated || !this->reportsReady;
    const bool isOverdue = this->clock() > run.placedAt + this->limits.startTimeout;
    if ((isClosed || isOverdue) && !run.isStopRequested)
        this->resolveByStop(task, run);
    else
        this->runLater(this->limits.resendDelay, [this, task] { this->sendStart(task); });
}

void TargetSession::giveUpUnsent(const TaskAddress &task, Run &run)
{
    this->report({this->over(task, run, RunOutcome::NeverStarted, {})});
}

void TargetSession::resolveByStop(const TaskAddress &task, Run &run)
{
    run.isStopRequested = true;
    this->sendStop(task, run.run);
}

void TargetSession::sendStop(const TaskAddress &task, RunNumber run)
{
    if (this->isFenced && !this->hooks.isCurrent()) { // a later controller may lead
        this->runLater(this->limits.resendDelay, [this, task, run] { this->sendStop(task, run); });
        return;
    }
    StopOrder order;
    order.task = task;
    order.run = run;
    order.fence = this->fence;
    const Attempt sent{run, this->fence, this->clock()};
    this->port.stop(this->targetIdentity, order, sent.sentAt + this->limits.orderTimeout,
                    [weak = this->weak_from_this(), task, sent](const Result<OrderAnswer> &answer) {
                        const auto self = weak.lock();
                        if (self && !self->hasEnded)
                            self->onStop(task, sent, answer);
                    });
}

void TargetSession::onStop(const TaskAddress &task, const Attempt &sent, Result<OrderAnswer> answer)
{
    const auto found = this->runs.find(task);
    if (this->settles || found == this->runs.end() || found->second.run != sent.run
        || found->second.phase == Phase::Over)
        return; // if the next list still has the run, it is stopped again
    if (answer && this->isOfLaterClock(answer.value().reply, answer.value().clockMs, sent.sentAt))
        answer = unknownAnswer();
    const bool isDone = answer
        && (answer.value().reply == OrderReply::Done
            || answer.value().reply == OrderReply::Settled);
    if (!isDone) {
        if (answer && !this->processReply(answer.value().reply, sent.fence))
            return;
        this->runLater(this->limits.resendDelay, [this, task, number = sent.run] {
            const auto again = this->runs.find(task);
            if (again != this->runs.end() && again->second.run == number
                && again->second.phase != Phase::Over)
                this->sendStop(task, number);
        });
        return;
    }
    this->answered(answer.value().clockMs);
    if (std::exchange(found->second.phase, Phase::Confirmed) == Phase::Sending)
        --this->unansweredStarts;
    found->second.confirmedAt = this->clock();
}

} // namespace guavavalve::workflows
