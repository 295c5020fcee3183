#pragma once

#include "controller/dispatchhandler.h"
#include "core/clock.h"
#include "core/ids.h"
#include "targets/endedattempt.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace guavavalve {

class ControllerClient;
class TargetClient;
class TimerQueue;

struct DispatcherOptions
{
    Milliseconds initialWait{1000}; ///< long-poll wait of the first call; doubles each time
    Milliseconds maxWait{16000};
    Milliseconds initialBackoff{50}; ///< after an error; doubles each time, with jitter
    Milliseconds maxBackoff{2000};
    Milliseconds reportTimeout{3000}; ///< for one report to the controller
    /// How long a target may be unresponsive before its attempts are given up. Its lease has long
    /// expired at the controller by then.
    Milliseconds maxUnresponsiveTime{3600 * 1000};
};

struct DispatcherCounters
{
    std::size_t following = 0; ///< attempts whose end has not been committed yet
    std::size_t started = 0; ///< start requests sent
    std::size_t succeeded = 0;
    std::size_t failed = 0;
    std::size_t neverStarted = 0;
    /// Attempts replaced by a later one, given up, or whose end the controller did not accept.
    std::size_t superseded = 0;
    std::size_t targetErrors = 0;
    std::size_t reportRetries = 0;
};

/// Executes the controller's orders: sends start requests to targets, finds out how attempts end,
/// and has each end committed before it notifies listeners.
///
/// A start request is sent at most once per attempt, even if it fails; after it the target is only
/// queried. A connection error alone never counts as "not run". When it is uncertain whether an
/// attempt started, only the target can settle it, by refusing that attempt permanently.
class Dispatcher : public DispatchHandler
{
public:
    using EndListener = std::function<void(const EndedAttempt &)>;

    /// All three must outlive this object and its outstanding calls.
    Dispatcher(ControllerClient &controller, TargetClient &targets, TimerQueue &timers,
               DispatcherOptions options);
    ~Dispatcher() override;

    void dispatch(std::vector<DispatchOrder> orders) override;

    /// Calls \a listener once, when an attempt of \a task that this dispatcher follows has ended.
    /// A task may have several listeners.
    /// Returns the identifier to pass to stopListening().
    std::uint64_t listen(TaskId task, EndListener listener);
    void stopListening(TaskId task, std::uint64_t listenerId);

    DispatcherCounters counters() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace guavavalve
