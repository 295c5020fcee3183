#include "callers/answerfetch.h"

#include "runtime/timerqueue.h"
#include "targets/targetclient.h"

#include <memory>
#include <utility>

namespace guavavalve {

namespace {

constexpr Milliseconds retryDelay{100};

class AnswerFetch : public std::enable_shared_from_this<AnswerFetch>
{
public:
    AnswerFetch(TargetClient &targets, TimerQueue &timers, TaskStatus task, Instant deadline,
                Done<std::string> done)
        : targets(targets)
        , timers(timers)
        , task(std::move(task))
        , deadline(deadline)
        , done(std::move(done))
    {}

    void query()
    {
        auto self = this->shared_from_this();
        this->targets.query(this->task.targetAddress, {this->task.task, this->task.attempt}, 0,
                            Milliseconds(0),
                            [self](const Result<AttemptReport> &report) { self->onReply(report); });
    }

private:
    void onReply(const Result<AttemptReport> &report)
    {
        if (report && this->isCommittedAnswer(report.value())) {
            this->done(report.value().answer);
            return;
        }
        // A target that no longer knows the attempt will not know it later either.
        const bool permanent = report.has_value() || report.error().code == ErrorCode::NotFound;
        if (!permanent && monotonicNow() + retryDelay < this->deadline) {
            auto self = this->shared_from_this();
            this->timers.runAfter(retryDelay, [self] { self->query(); });
            return;
        }
        Error error =
            failure(ErrorCode::IncompleteAnswer,
                    "the task succeeded, but its target did not return the committed answer");
        error.ran = Ran::Yes;
        this->done(error);
    }

    bool isCommittedAnswer(const AttemptReport &report) const
    {
        return report.ended && report.outcome == AttemptOutcome::Succeeded
            && report.answer.size() == this->task.answerLength
            && report.answerDigest == this->task.answerDigest;
    }

    TargetClient &targets;
    TimerQueue &timers;
    TaskStatus task;
    Instant deadline;
    Done<std::string> done;
};

} // namespace

void fetchAnswer(TargetClient &targets, TimerQueue &timers, const TaskStatus &task,
                 Instant deadline, Done<std::string> done)
{
    std::make_shared<AnswerFetch>(targets, timers, task, deadline, std::move(done))->query();
}

} // namespace guavavalve
