#include "callers/waitingcall.h"

#include "callers/answerfetch.h"
#include "callers/jobreplies.h"
#include "controller/controllerclient.h"
#include "runtime/timerqueue.h"
#include "targets/dispatcher.h"

#include <utility>

namespace guavavalve {

namespace {

/// How long the dispatcher here is waited for before the controller is asked as well.
constexpr Milliseconds trustInDispatcher{2000};
constexpr Milliseconds pauseBetweenPolls{200};
/// Beyond the caller's deadline, so that what ended just in time still reaches it.
constexpr Milliseconds fetchLimit{10000};

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
    // A job is named after its first task, and only one of a single task has one answer.
    if (this->tasks == 1) {
        this->listening = this->context.dispatcher.listen(
            TaskId{idValue(this->job)},
            [self](const EndedAttempt &attempt) { self->attemptEnded(attempt); });
    }
    const bool sendsHere = this->tasks == 1 && !accepted.dispatches.empty();
    if (sendsHere)
        this->context.timers.runAfter(trustInDispatcher, [self] { self->pollStatus(); });
    this->context.dispatcher.dispatch(std::move(accepted.dispatches));
    if (!sendsHere)
        this->pollStatus();
}

void WaitingCall::attemptEnded(const EndedAttempt &attempt)
{
    if (!attempt.committed || attempt.end.outcome != AttemptOutcome::Succeeded) {
        // Whether that is the end of the job, the controller knows: it may be tried again.
        this->pollStatus();
        return;
    }
    const auto waited =
        std::chrono::duration_cast<Milliseconds>(attempt.followedFrom - this->received);
    this->finish(answerResponse(this->job, attempt.answer, waited.count()), std::nullopt);
}

void WaitingCall::pollStatus()
{
    if (this->replied || this->polling.exchange(true))
        return;
    auto self = this->shared_from_this();
    this->context.controller.jobStatus(
        this->team, this->job, true, this->deadline,
        [self](const Result<JobStatus> &result) { self->statusArrived(result); });
}

void WaitingCall::statusArrived(const Result<JobStatus> &result)
{
    if (this->replied)
        return;
    if (result && result.value().finished) {
        this->finished(result.value());
        return;
    }
    if (monotonicNow() + pauseBetweenPolls < this->deadline) {
        // The controller changed, or held the question for as long as it may.
        this->polling = false;
        auto self = this->shared_from_this();
        this->context.timers.runAfter(pauseBetweenPolls, [self] { self->pollStatus(); });
        return;
    }
    Error error = failure(ErrorCode::DeadlineExceeded,
                          "the job has not finished; ask for its status, or send the request "
                          "again with the same Idempotency-Key");
    error.ran = Ran::Unknown;
    error.retryAfter = Milliseconds(1000);
    this->fail(error);
}

void WaitingCall::finished(const JobStatus &status)
{
    if (status.tasks.size() != 1) {
        this->finish(statusResponse(status, 200), std::nullopt);
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
    fetchAnswer(this->context.targets, this->context.timers, task, monotonicNow() + fetchLimit,
                [self, waitedMs](const Result<std::string> &answer) {
                    if (answer)
                        self->finish(answerResponse(self->job, answer.value(), waitedMs),
                                     std::nullopt);
                    else
                        self->fail(answer.error());
                });
}

void WaitingCall::fail(const Error &error)
{
    this->finish(jobErrorResponse(this->job, error), error.ran);
}

void WaitingCall::finish(const HttpResponse &response, std::optional<Ran> ran)
{
    if (this->replied.exchange(true))
        return;
    if (this->listening != 0)
        this->context.dispatcher.stopListening(TaskId{idValue(this->job)}, this->listening);
    this->reply(response, ran);
}

} // namespace guavavalve
