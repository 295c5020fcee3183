#pragma once

#include "core/clock.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace guavavalve {

/// Runs actions at their time, on one thread of its own.
class TimerQueue
{
public:
    using Action = std::function<void()>;

    TimerQueue();
    /// Drops what has not run yet; an action that runs is waited for.
    ~TimerQueue();
    TimerQueue(const TimerQueue &) = delete;
    TimerQueue &operator=(const TimerQueue &) = delete;

    /// Runs \a action once, at \a due or soon after. It must not block. Cost: logarithmic.
    void runAt(Instant due, Action action);
    void runAfter(Microseconds delay, Action action);

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
