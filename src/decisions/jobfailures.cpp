#include "decisions/jobfailures.h"

#include <algorithm>

namespace guavavalve::internal {

namespace {

constexpr std::size_t maxJobs = 4096;

} // namespace

void JobFailures::recordFailure(JobId job, Index target)
{
    const auto [item, isNew] = this->entries.try_emplace(job);
    if (isNew) {
        this->insertionOrder.push_back(job);
        if (this->insertionOrder.size() > maxJobs) {
            this->entries.erase(this->insertionOrder.front());
            this->insertionOrder.pop_front();
        }
    }
    Entry &entry = item->second;
    ++entry.failures;
    const auto end = entry.targets.begin() + entry.distinctTargets;
    if (entry.distinctTargets < minDistinctTargets
        && std::find(entry.targets.begin(), end, target) == end)
        entry.targets[entry.distinctTargets++] = target;
}

void JobFailures::recordSuccess(JobId job)
{
    const auto item = this->entries.find(job);
    if (item != this->entries.end())
        ++item->second.successes;
}

bool JobFailures::failsEverywhere(JobId job) const
{
    const auto item = this->entries.find(job);
    return item != this->entries.end() && item->second.distinctTargets >= minDistinctTargets
        && item->second.successes < item->second.failures;
}

} // namespace guavavalve::internal
