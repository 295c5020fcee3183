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

/// State that the attempts of one Dispatcher share.
struct DispatchContext
{
    ControllerClient &controller;
    TargetClient &targets;
    TimerQueue &timers;
    DispatcherOptions options;

    // Counted for DispatcherCounters.
    std::atomic<std::size_t> started{0};
    std::atomic<std::size_t> succeeded{0};
    std::atomic<std::size_t> failed{0};
    std::atomic<std::size_t> neverStarted{0};
    std::atomic<std::size_t> superseded{0};
    std::atomic<std::size_t> targetErrors{0};
    std::atomic<std::size_t> reportRetries{0};
};

/// Follows one attempt from its order until its end has been committed.
///
/// Any number of queries and stops may be outstanding. Only the first end that one of them returns
/// is reported to the controller.
class FollowedAttempt : public std::enable_shared_from_this<FollowedAttempt>
{
public:
    /// Called once, when the end has been committed or superseded or the attempt given up.
    using Ended = std::function<void(const EndedAttempt &)>;

    FollowedAttempt(std::shared_ptr<DispatchContext> context, DispatchOrder order, Ended ended);

    const DispatchOrder &attempt() const { return this->order; }

    /// Sends the start request. Must be called at most once.
    void start();
    /// Queries the target until the attempt has ended.
    void follow();
    /// Has the target end the attempt, or refuse it permanently if it has not started.
    void stop();
    void throttle();
    void checkpoint();
    /// Sends and reports nothing more, for example because a later attempt has replaced this one.
    void drop();

private:
    void scheduleFinishDeadline();
    void query();
    void onQueryReply(const Result<AttemptReport> &report);
    void resetTimeouts();
    void requestStop();
    void onStopReply(const Result<AttemptReport> &report);
    void retry(void (FollowedAttempt::*step)());
    void recordEnd(const AttemptReport &report);
    void report();
    void onReportReply(const Result<Nothing> &result);
    bool isOver() const;
    Milliseconds nextWait();

    std::shared_ptr<DispatchContext> context;
    DispatchOrder order;
    Ended onEnded;
    std::atomic<Instant> giveUpDeadline; ///< postponed whenever the target answers a query
    std::atomic<std::int64_t> waitMs; ///< long-poll wait of the next call
    std::atomic<bool> outcomeKnown{false}; ///< set by the first end received
    std::atomic<bool> dropped{false};
    std::atomic<bool> stopRequested{false};
    std::atomic<int> incompleteAnswers{0};
    std::mutex mutex;
    Backoff backoff; ///< guarded by mutex
    EndedAttempt outcome; ///< its end is written once, by the thread that set outcomeKnown
};

} // namespace guavavalve::internal
