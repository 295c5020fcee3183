#pragma once

#include "core/clock.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <utility>

namespace guavavalve::workflows {

/// When this replica applied the commands of the last seconds, by what they concern. Not
/// replicated: each replica observes its own. Not thread-safe.
///
/// Tells a new leader which orders of its predecessor may still be under way.
template<typename Key>
class RecentTimes
{
public:
    /// Longer than an order may be under way.
    static constexpr Milliseconds span{15000};

    explicit RecentTimes(Instant now)
        : knownSince(now)
    {}

    void record(const Key &key, Instant now)
    {
        while (!this->order.empty() && this->order.front().first + span < now) {
            const auto &[at, oldest] = this->order.front();
            const auto found = this->times.find(oldest);
            if (found != this->times.end() && found->second == at)
                this->times.erase(found);
            this->knownSince = std::max(this->knownSince, at);
            this->order.pop_front();
        }
        this->times[key] = now;
        this->order.emplace_back(now, key);
    }
    /// What was recorded before \a now is unknown: the state was replaced as a whole.
    void forgetAll(Instant now)
    {
        this->times.clear();
        this->order.clear();
        this->knownSince = now;
    }
    /// The latest time at which it may have been recorded.
    Instant latest(const Key &key) const
    {
        const auto found = this->times.find(key);
        return found == this->times.end() ? this->knownSince : found->second;
    }
    std::size_t size() const { return this->times.size(); }

private:
    std::map<Key, Instant> times;
    std::deque<std::pair<Instant, Key>> order; ///< oldest first
    Instant knownSince; ///< all records since then are known, or older than the span
};

} // namespace guavavalve::workflows
