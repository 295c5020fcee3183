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
    Milliseconds firstWait{1000}; ///< of the start and the first question; doubles from there
    Milliseconds longestWait{16000};
    Milliseconds firstBackoff{50}; ///< after an error; doubles from there, with jitter
    Milliseconds longestBackoff{2000};
    Milliseconds reportTimeout{3000}; ///< of one report to the controller
    Milliseconds longestFollow{3600 * 1000}; ///< of a target that does not answer at all
};

struct DispatcherCounters
{
    std::size_t following = 0; ///< attempts whose end is not yet committed
    std::size_t started = 0; ///< starts sent
    std::size_t succeeded = 0;
    std::size_t failed = 0;
    std::size_t neverStarted = 0;
    std::size_t superseded = 0;
    std::size_t targetErrors = 0;
    std::size_t reportRetries = 0;
};

/// Carries out the controller's orders: sends starts to targets, learns how attempts end, and
/// has each end committed before anyone is told.
///
/// A start is sent at most once for each attempt, whatever happens to it; from then on the target
/// is only asked. An attempt of which it is not certain that it began is proved by the target
/// itself, which refuses it for ever: a connection error alone is never taken for "not run".
class Dispatcher : public DispatchHandler
{
public:
    using EndListener = std::function<void(const EndedAttempt &)>;

    /// All three outlive this and the calls that it has under way.
    Dispatcher(ControllerClient &controller, TargetClient &targets, TimerQueue &timers,
               DispatcherOptions options);
    ~Dispatcher() override;

    void dispatch(std::vector<DispatchOrder> orders) override;

    /// Has \a listener called once when an attempt of \a task that is followed here has ended.
    /// Several may listen.
    /// Returns what stopListening() takes.
    std::uint64_t listen(TaskId task, EndListener listener);
    void stopListening(TaskId task, std::uint64_t listening);

    DispatcherCounters counters() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace guavavalve
