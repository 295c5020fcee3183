#include "controller/eventloop.h"

#include <utility>

namespace guavavalve {

EventLoop::EventLoop(Hooks hooks, std::size_t capacity)
    : hooks(std::move(hooks))
    , capacity(capacity)
{}

EventLoop::~EventLoop()
{
    this->stop();
}

void EventLoop::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void EventLoop::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void EventLoop::post(Event event)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopping)
            return;
        this->queue.push_back(std::move(event));
    }
    this->changed.notify_one();
}

bool EventLoop::tryPost(Event event)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopping || this->queue.size() >= this->capacity)
            return false;
        this->queue.push_back(std::move(event));
    }
    this->changed.notify_one();
    return true;
}

void EventLoop::run()
{
    std::vector<Event> round;
    for (;;) {
        const Instant wakeup = this->hooks.nextWakeup();
        {
            std::unique_lock lock(this->mutex);
            const auto ready = [this] { return this->stopping || !this->queue.empty(); };
            if (wakeup == Instant::max())
                this->changed.wait(lock, ready);
            else
                this->changed.wait_for(lock, untilDeadline(wakeup), ready);
            if (this->stopping && this->queue.empty())
                return;
            round.swap(this->queue);
        }
        for (const Event &event : round)
            event();
        round.clear();
        this->hooks.roundEnded();
    }
}

} // namespace guavavalve
