#include "platform/delayqueue.h"

namespace guavavalve {

DelayQueue::DelayQueue(Clock clock)
    : clock(std::move(clock))
    , thread([this] { this->run(); })
{}

DelayQueue::~DelayQueue()
{
    this->stop();
}

void DelayQueue::runAt(Instant time, std::function<void()> action)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopping)
            return;
        this->waiting.emplace(std::pair(time, this->sequence++), std::move(action));
    }
    this->changed.notify_one();
}

void DelayQueue::runAfter(Milliseconds wait, std::function<void()> action)
{
    this->runAt(this->clock() + wait, std::move(action));
}

void DelayQueue::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->waiting.clear();
    }
    this->changed.notify_one();
    if (this->thread.joinable())
        this->thread.join();
}

void DelayQueue::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        if (this->waiting.empty()) {
            this->changed.wait(lock);
            continue;
        }
        const auto next = this->waiting.begin();
        const Instant due = next->first.first;
        if (due > this->clock()) {
            this->changed.wait_until(lock, due);
            continue;
        }
        const std::function<void()> action = std::move(next->second);
        this->waiting.erase(next);
        lock.unlock();
        action();
        lock.lock();
    }
}

} // namespace guavavalve
