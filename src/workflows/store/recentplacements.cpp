#include "workflows/store/recentplacements.h"

#include <algorithm>

namespace guavavalve::workflows {

void RecentPlacements::placed(const StepAddress &step, RunNumber run, Instant now)
{
    while (!this->order.empty() && this->order.front().first + span < now) {
        const auto &[at, key] = this->order.front();
        const auto found = this->times.find(key);
        if (found != this->times.end() && found->second == at)
            this->times.erase(found);
        this->knownSince = std::max(this->knownSince, at);
        this->order.pop_front();
    }
    const Key key{step, run};
    this->times[key] = now;
    this->order.emplace_back(now, key);
}

void RecentPlacements::forgetAll(Instant now)
{
    this->times.clear();
    this->order.clear();
    this->knownSince = now;
}

Instant RecentPlacements::placedAt(const StepAddress &step, RunNumber run) const
{
    const auto found = this->times.find({step, run});
    return found == this->times.end() ? this->knownSince : found->second;
}

} // namespace guavavalve::workflows
