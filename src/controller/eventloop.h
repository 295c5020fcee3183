#pragma once

#include "core/clock.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace guavavalve {

/// A thread that runs what is posted to it, in order, in rounds: everything that has come in
/// since the last round is run together, and then the round's end is told. Work that arrives
/// while a round runs so shares the next one, which is what groups commits under load.
class EventLoop
{
public:
    using Event = std::function<void()>;

    struct Hooks
    {
        std::function<void()> roundEnded;
        /// When the next round is due though nothing has been posted.
        std::function<Instant()> nextWakeup;
    };

    /// \a capacity bounds what tryPost() lets wait.
    EventLoop(Hooks hooks, std::size_t capacity);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    void start();
    /// Runs what has been posted and ends the thread. Later posts are dropped.
    void stop();

    /// Takes \a event whatever the length of the queue: for what must not be lost.
    void post(Event event);
    /// False, and \a event is not taken, when the queue is full.
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
