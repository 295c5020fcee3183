#include "runtime/timerqueue.h"

#include <utility>

namespace guavavalve {

TimerQueue::TimerQueue()
    : thread([this] { this->run(); })
{}

TimerQueue::~TimerQueue()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

void TimerQueue::runAt(Instant due, Action action)
{
    bool earliest = false;
    {
        const std::lock_guard lock(this->mutex);
        earliest = this->actions.empty() || due < this->actions.begin()->first;
        this->actions.emplace(due, std::move(action));
    }
    if (earliest)
        this->changed.notify_one();
}

void TimerQueue::runAfter(Microseconds delay, Action action)
{
    this->runAt(monotonicNow() + delay, std::move(action));
}

std::size_t TimerQueue::waiting() const
{
    const std::lock_guard lock(this->mutex);
    return this->actions.size();
}

void TimerQueue::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        if (this->actions.empty()) {
            this->changed.wait(lock);
            continue;
        }
        const auto first = this->actions.begin();
        const Instant due = first->first;
        if (monotonicNow() < due) {
            this->changed.wait_for(lock, untilDeadline(due));
            continue;
        }
        const Action action = std::move(first->second);
        this->actions.erase(first);
        lock.unlock();
        action();
        lock.lock();
    }
}

} // namespace guavavalve
