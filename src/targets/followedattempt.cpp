#include "targets/followedattempt.h"

#include "controller/controllerclient.h"
#include "runtime/timerqueue.h"
#include "targets/targetclient.h"

#include <algorithm>
#include <utility>

namespace guavavalve::internal {

namespace {

/// Incomplete answers after which an attempt counts as failed. Until then the query is repeated,
/// because the target still stores the answer.
constexpr int maxIncompleteAnswers = 3;

bool isSuperseded(ErrorCode code)
{
    return code == ErrorCode::Conflict || code == ErrorCode::NotFound
        || code == ErrorCode::InvalidArgument;
}

} // namespace

FollowedAttempt::FollowedAttempt(std::shared_ptr<DispatchContext> context, DispatchOrder order,
                                 Ended ended)
    : context(std::move(context))
    , order(std::move(order))
    , onEnded(std::move(ended))
    , giveUpDeadline(monotonicNow() + this->context->options.maxUnresponsiveTime)
    , waitMs(this->context->options.initialWait.count())
    , backoff(this->context->options.initialBackoff, this->context->options.maxBackoff)
{
    this->outcome.end.task = this->order.task;
    this->outcome.end.attempt = this->order.attempt;
    this->outcome.followedFrom = monotonicNow();
}

void FollowedAttempt::start()
{
    this->scheduleFinishDeadline();
    ++this->context->started;
    auto self = this->shared_from_this();
    this->context->targets.start(
        this->order, this->nextWait(),
        [self](const Result<AttemptReport> &report) { self->onQueryReply(report); });
    // The start request is never sent again, so the payload is no longer needed.
    this->order.payload.clear();
    this->order.payload.shrink_to_fit();
}

void FollowedAttempt::follow()
{
    this->scheduleFinishDeadline();
    this->query();
}

void FollowedAttempt::scheduleFinishDeadline()
{
    if (this->order.finishWithinMs <= 0)
        return;
    // A weak reference, since most attempts end long before their deadline.
    this->context->timers.runAfter(Milliseconds(this->order.finishWithinMs),
                                   [weak = this->weak_from_this()] {
                                       if (auto self = weak.lock())
                                           self->stop();
                                   });
}

void FollowedAttempt::stop()
{
    if (!this->stopRequested.exchange(true))
        this->requestStop();
}

void FollowedAttempt::throttle()
{
    this->context->targets.throttle(this->order.targetAddress,
                                    {this->order.task, this->order.attempt},
                                    [](const Result<AttemptReport> &) {});
}

void FollowedAttempt::checkpoint()
{
    auto self = this->shared_from_this();
    this->context->targets.checkpoint(this->order.targetAddress,
                                      {this->order.task, this->order.attempt},
                                      [self](const Result<AttemptReport> &report) {
                                          if (report && report.value().ended)
                                              self->recordEnd(report.value());
                                      });
}

void FollowedAttempt::drop()
{
    this->dropped = true;
}

bool FollowedAttempt::isOver() const
{
    return this->dropped || this->outcomeKnown;
}

Milliseconds FollowedAttempt::nextWait()
{
    const std::int64_t wait = this->waitMs;
    this->waitMs = std::min(wait * 2, this->context->options.maxWait.count());
    return Milliseconds(wait);
}

void FollowedAttempt::query()
{
    if (this->isOver())
        return;
    auto self = this->shared_from_this();
    this->context->targets.query(
        this->order.targetAddress, {this->order.task, this->order.attempt}, this->order.incarnation,
        this->nextWait(),
        [self](const Result<AttemptReport> &report) { self->onQueryReply(report); });
}

void FollowedAttempt::onQueryReply(const Result<AttemptReport> &report)
{
    if (this->isOver())
        return;
    if (report) {
        this->resetTimeouts();
        if (report.value().ended)
            this->recordEnd(report.value());
        else
            this->query();
        return;
    }
    if (report.error().code == ErrorCode::NotFound) {
        // A start request may still be in flight, on a connection or in a suspended entry that
        // resumes later, so the target might yet start the attempt. It therefore has to promise
        // never to start it, and only that promise is reported.
        this->stop();
        return;
    }
    ++this->context->targetErrors;
    if (report.error().code == ErrorCode::IncompleteAnswer
        && ++this->incompleteAnswers >= maxIncompleteAnswers) {
        AttemptReport incomplete;
        incomplete.ended = true;
        incomplete.outcome = AttemptOutcome::Failed;
        incomplete.answer = report.error().message;
        this->recordEnd(incomplete);
        return;
    }
    this->retry(&FollowedAttempt::query);
}

void FollowedAttempt::resetTimeouts()
{
    this->giveUpDeadline = monotonicNow() + this->context->options.maxUnresponsiveTime;
    const std::lock_guard lock(this->mutex);
    this->backoff.reset();
}

void FollowedAttempt::requestStop()
{
    if (this->isOver())
        return;
    auto self = this->shared_from_this();
    this->context->targets.stop(
        this->order.targetAddress, {this->order.task, this->order.attempt}, this->order.incarnation,
        [self](const Result<AttemptReport> &report) { self->onStopReply(report); });
}

void FollowedAttempt::onStopReply(const Result<AttemptReport> &report)
{
    if (this->isOver())
        return;
    if (report && report.value().ended) {
        this->recordEnd(report.value());
        return;
    }
    if (!report)
        ++this->context->targetErrors;
    this->retry(&FollowedAttempt::requestStop);
}

void FollowedAttempt::retry(void (FollowedAttempt::*step)())
{
    if (monotonicNow() > this->giveUpDeadline.load()) {
        // By now the target's lease has long expired at the controller.
        this->drop();
        ++this->context->superseded;
        this->onEnded(this->outcome);
        return;
    }
    Microseconds delay{0};
    {
        const std::lock_guard lock(this->mutex);
        delay = this->backoff.delay();
    }
    auto self = this->shared_from_this();
    this->context->timers.runAfter(delay, [self, step] { ((*self).*step)(); });
}

void FollowedAttempt::recordEnd(const AttemptReport &report)
{
    if (this->outcomeKnown.exchange(true))
        return;
    this->outcome.end.outcome = report.outcome;
    if (report.outcome == AttemptOutcome::Succeeded) {
        this->outcome.end.answerLength = report.answer.size();
        this->outcome.end.answerDigest = report.answerDigest;
        this->outcome.answer = report.answer;
    } else {
        constexpr std::size_t maxMessageBytes = 1024;
        this->outcome.end.message = report.answer.substr(0, maxMessageBytes);
    }
    this->report();
}

void FollowedAttempt::report()
{
    if (this->dropped)
        return;
    auto self = this->shared_from_this();
    this->context->controller.attemptEnded(
        this->outcome.end, monotonicNow() + this->context->options.reportTimeout,
        [self](const Result<Nothing> &result) { self->onReportReply(result); });
}

void FollowedAttempt::onReportReply(const Result<Nothing> &result)
{
    if (this->dropped)
        return;
    if (!result && !isSuperseded(result.error().code)) {
        ++this->context->reportRetries;
        this->retry(&FollowedAttempt::report);
        return;
    }
    if (!result)
        ++this->context->superseded;
    else if (this->outcome.end.outcome == AttemptOutcome::Succeeded)
        ++this->context->succeeded;
    else if (this->outcome.end.outcome == AttemptOutcome::NeverStarted)
        ++this->context->neverStarted;
    else
        ++this->context->failed;
    this->dropped = true;
    this->outcome.committed = result.has_value();
    this->onEnded(this->outcome);
}

} // namespace guavavalve::internal
