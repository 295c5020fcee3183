#pragma once

#include "controller/dispatchorder.h"
#include "core/clock.h"
#include "core/done.h"
#include "core/error.h"
#include "targets/attemptreport.h"
#include "targets/backoff.h"
#include "targets/dispatcher.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace guavavalve {
class ControllerClient;
class TargetClient;
class TimerQueue;
} // namespace guavavalve

namespace guavavalve::internal {

/// What the attempts of one Dispatcher share.
struct DispatchContext
{
    ControllerClient &controller;
    TargetClient &targets;
    TimerQueue &timers;
    DispatcherOptions options;

    std::atomic<std::size_t> started{0};
    std::atomic<std::size_t> succeeded{0};
    std::atomic<std::size_t> failed{0};
    std::atomic<std::size_t> neverStarted{0};
    std::atomic<std::size_t> superseded{0};
    std::atomic<std::size_t> targetErrors{0};
    std::atomic<std::size_t> reportRetries{0};
};

/// One attempt from its order to the commit of its end.
///
/// Any number of questions and stops may be under way; the first end that one of them learns is
/// reported, and only that.
class FollowedAttempt : public std::enable_shared_from_this<FollowedAttempt>
{
public:
    /// Told once, with the end as committed or superseded.
    using Ended = std::function<void(const EndedAttempt &)>;

    FollowedAttempt(std::shared_ptr<DispatchContext> context, DispatchOrder order, Ended ended);

    const DispatchOrder &attempt() const { return this->order; }

    /// Sends the start. Called once at most for an attempt.
    void start();
    /// Asks until it has ended.
    void follow();
    /// Has it ended, or refused for ever.
    void stop();
    void throttle();
    void checkpoint();
    /// Nothing more is sent or reported: a later attempt has taken its place.
    void drop();

private:
    void watchDeadline();
    void ask();
    void asked(const Result<AttemptReport> &report);
    void targetAnswered();
    void requestStop();
    void stopped(const Result<AttemptReport> &report);
    void retry(void (FollowedAttempt::*step)());
    void ended(const AttemptReport &report);
    void report();
    void reported(const Result<Nothing> &result);
    bool isOver() const;
    Milliseconds nextWait();

    std::shared_ptr<DispatchContext> context;
    DispatchOrder order;
    Ended tellEnded;
    std::atomic<Instant> giveUpAt; ///< unless the target answers meanwhile
    std::atomic<std::int64_t> waitMs;
    std::atomic<bool> learned{false}; ///< its end is known here
    std::atomic<bool> dropped{false};
    std::atomic<bool> stopWanted{false};
    std::atomic<int> incompleteAnswers{0};
    std::mutex mutex;
    Backoff backoff; ///< guarded by mutex
    EndedAttempt outcome; ///< written once, by whoever set learned
};

} // namespace guavavalve::internal
