#pragma once

#include "core/clock.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace guavavalve::workflows {

/// An event loop with a virtual clock: time advances only from action to action, and by the time
/// that an action is said to take.
class VirtualLoop
{
public:
    Instant now() const { return this->present; }
    std::int64_t nowMs() const
    {
        return std::chrono::duration_cast<Milliseconds>(this->present.time_since_epoch()).count();
    }

    void post(std::function<void()> action)
    {
        this->actions.emplace(this->present, std::move(action));
    }

    void runAfter(Microseconds delay, std::function<void()> action)
    {
        this->actions.emplace(this->present + delay, std::move(action));
    }

    /// Lets the current action take \a time: all later actions run that much later.
    void spend(Microseconds time) { this->present += time; }

    void runFor(Milliseconds span)
    {
        const Instant end = this->present + span;
        while (!this->actions.empty() && this->actions.begin()->first <= end) {
            const auto first = this->actions.begin();
            this->present = std::max(this->present, first->first);
            const std::function<void()> action = std::move(first->second);
            this->actions.erase(first);
            action();
        }
        this->present = std::max(this->present, end);
    }

private:
    Instant present{std::chrono::seconds(1000)};
    std::multimap<Instant, std::function<void()>> actions;
};

} // namespace guavavalve::workflows
