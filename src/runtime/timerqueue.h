#pragma once

#include "core/clock.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace guavavalve {

/// Runs actions at given times, on a thread of its own.
class TimerQueue
{
public:
    using Action = std::function<void()>;

    TimerQueue();
    /// Drops actions that have not started, and waits for one that is running.
    ~TimerQueue();
    TimerQueue(const TimerQueue &) = delete;
    TimerQueue &operator=(const TimerQueue &) = delete;

    /// Runs \a action once, at \a due or soon after. It must not block. Cost: logarithmic in the
    /// number of waiting actions.
    void runAt(Instant due, Action action);
    void runAfter(Microseconds delay, Action action);

    /// Actions that have not started.
    std::size_t waiting() const;

private:
    void run();

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::multimap<Instant, Action> actions;
    bool stopping = false;
    std::thread thread;
};

} // namespace guavavalve
