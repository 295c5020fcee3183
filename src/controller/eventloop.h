#pragma once

#include "core/clock.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace guavavalve {

/// A thread that runs posted events in order and in rounds: all events posted since the last round
/// run together, followed by Hooks::roundEnded. Events that arrive during a round share the next
/// one, so commits are batched under load.
class EventLoop
{
public:
    using Event = std::function<void()>;

    struct Hooks
    {
        std::function<void()> roundEnded;
        /// When the next round is due even if no event has been posted.
        std::function<Instant()> nextWakeup;
    };

    /// \a capacity: queue length from which tryPost() refuses events.
    EventLoop(Hooks hooks, std::size_t capacity);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    void start();
    /// Runs the events posted so far and ends the thread. Later events are dropped.
    void stop();

    /// Queues \a event regardless of the capacity, for events that must not be lost.
    void post(Event event);
    /// Queues \a event and returns true, or returns false if the queue is full or the loop stops.
    bool tryPost(Event event);

    bool isCurrentThread() const { return std::this_thread::get_id() == this->thread.get_id(); }

private:
    void run();

    Hooks hooks;
    std::size_t capacity;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<Event> queue;
    bool stopping = false;
    std::thread thread;
};

} // namespace guavavalve
