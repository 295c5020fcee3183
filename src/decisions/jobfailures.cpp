#include "decisions/jobfailures.h"

#include <algorithm>

namespace guavavalve::internal {

namespace {

constexpr std::size_t maxJobs = 4096;

} // namespace

void JobFailures::failed(JobId job, Index target)
{
    const auto [item, isNew] = this->entries.try_emplace(job);
    if (isNew) {
        this->ages.push_back(job);
        if (this->ages.size() > maxJobs) {
            this->entries.erase(this->ages.front());
            this->ages.pop_front();
        }
    }
    Entry &entry = item->second;
    ++entry.failures;
    const auto end = entry.targets.begin() + entry.distinct;
    if (entry.distinct < targetsToBlame && std::find(entry.targets.begin(), end, target) == end)
        entry.targets[entry.distinct++] = target;
}

void JobFailures::succeeded(JobId job)
{
    const auto item = this->entries.find(job);
    if (item != this->entries.end())
        ++item->second.successes;
}

bool JobFailures::failsEverywhere(JobId job) const
{
    const auto item = this->entries.find(job);
    return item != this->entries.end() && item->second.distinct >= targetsToBlame
        && item->second.successes < item->second.failures;
}

} // namespace guavavalve::internal
