#pragma once

#include "core/clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace guavavalve {

/// Runs actions at their time, on one thread of its own. Actions must not block. Cost of each
/// call: logarithmic in what waits.
class DelayQueue
{
public:
    explicit DelayQueue(Clock clock = monotonicNow);
    /// Drops what still waits.
    ~DelayQueue();
    DelayQueue(const DelayQueue &) = delete;
    DelayQueue &operator=(const DelayQueue &) = delete;

    void runAt(Instant time, std::function<void()> action);
    void runAfter(Milliseconds wait, std::function<void()> action);

    /// Ends the thread; the action that runs at the moment is finished first.
    void stop();

private:
    void run();

    Clock clock;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> waiting;
    std::uint64_t sequence = 0; ///< keeps actions of the same time in their order
    bool stopping = false;
    std::thread thread;
};

} // namespace guavavalve
