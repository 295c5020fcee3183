#include "callers/waitingcall.h"

#include "callers/answerfetch.h"
#include "callers/jobreplies.h"
#include "controller/controllerclient.h"
#include "runtime/timerqueue.h"
#include "targets/dispatcher.h"

#include <utility>

namespace guavavalve {

namespace {

/// How long to wait for this entry's dispatcher before polling the controller as well.
constexpr Milliseconds dispatcherGracePeriod{2000};
constexpr Milliseconds pollInterval{200};
/// Counted from when the job's end is known rather than limited by the caller's deadline, so that
/// an answer that was ready just in time still reaches the caller.
constexpr Milliseconds fetchTimeout{10000};

} // namespace

WaitingCall::WaitingCall(const Context &context, std::string team, std::uint32_t tasks,
                         Instant received, Instant deadline, Reply reply)
    : context(context)
    , team(std::move(team))
    , tasks(tasks)
    , received(received)
    , deadline(deadline)
    , reply(std::move(reply))
{}

void WaitingCall::start(SubmitReply accepted)
{
    this->job = accepted.job;
    auto self = this->shared_from_this();
    // A job has the number of its first task, and only a job of one task has a single answer.
    if (this->tasks == 1) {
        this->listenerId = this->context.dispatcher.listen(
            TaskId{idValue(this->job)},
            [self](const EndedAttempt &attempt) { self->onAttemptEnded(attempt); });
    }
    const bool dispatchedHere = this->tasks == 1 && !accepted.dispatches.empty();
    if (dispatchedHere)
        this->context.timers.runAfter(dispatcherGracePeriod, [self] { self->pollStatus(); });
    this->context.dispatcher.dispatch(std::move(accepted.dispatches));
    if (!dispatchedHere)
        this->pollStatus();
}

void WaitingCall::onAttemptEnded(const EndedAttempt &attempt)
{
    if (!attempt.committed || attempt.end.outcome != AttemptOutcome::Succeeded) {
        // Only the controller knows whether the job has finished: it may retry the task.
        this->pollStatus();
        return;
    }
    const auto waited =
        std::chrono::duration_cast<Milliseconds>(attempt.followedFrom - this->received);
    this->sendReply(answerResponse(this->job, attempt.answer, waited.count()), std::nullopt);
}

void WaitingCall::pollStatus()
{
    if (this->replied || this->polling.exchange(true))
        return;
    auto self = this->shared_from_this();
    this->context.controller.jobStatus(
        this->team, this->job, true, this->deadline,
        [self](const Result<JobStatus> &result) { self->onStatus(result); });
}

void WaitingCall::onStatus(const Result<JobStatus> &result)
{
    if (this->replied)
        return;
    if (result && result.value().finished) {
        this->onJobFinished(result.value());
        return;
    }
    if (monotonicNow() + pollInterval < this->deadline) {
        // The controller changed, or replied because its own limit for waiting was reached.
        this->polling = false;
        auto self = this->shared_from_this();
        this->context.timers.runAfter(pollInterval, [self] { self->pollStatus(); });
        return;
    }
    Error error = failure(ErrorCode::DeadlineExceeded,
                          "the job has not finished; ask for its status, or send the request "
                          "again with the same Idempotency-Key");
    error.ran = Ran::Unknown;
    error.retryAfter = Milliseconds(1000);
    this->fail(error);
}

void WaitingCall::onJobFinished(const JobStatus &status)
{
    if (status.tasks.size() != 1) {
        this->sendReply(statusResponse(status, 200), std::nullopt);
        return;
    }
    const TaskStatus &task = status.tasks.front();
    if (const auto error = failureOf(task))
        this->fail(*error);
    else
        this->fetch(task, status.waitedMs);
}

void WaitingCall::fetch(const TaskStatus &task, std::int64_t waitedMs)
{
    auto self = this->shared_from_this();
    fetchAnswer(this->context.targets, this->context.timers, task, monotonicNow() + fetchTimeout,
                [self, waitedMs](const Result<std::string> &answer) {
                    if (answer)
                        self->sendReply(answerResponse(self->job, answer.value(), waitedMs),
                                        std::nullopt);
                    else
                        self->fail(answer.error());
                });
}

void WaitingCall::fail(const Error &error)
{
    this->sendReply(jobErrorResponse(this->job, error), error.ran);
}

void WaitingCall::sendReply(const HttpResponse &response, std::optional<Ran> ran)
{
    if (this->replied.exchange(true))
        return;
    if (this->listenerId != 0)
        this->context.dispatcher.stopListening(TaskId{idValue(this->job)}, this->listenerId);
    this->reply(response, ran);
}

} // namespace guavavalve
