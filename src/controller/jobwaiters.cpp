#include "controller/jobwaiters.h"

#include <utility>

namespace guavavalve {

void JobWaiters::add(JobId job, Instant deadline, Done<JobStatus> done)
{
    this->waiters[job].push_back(Waiter{deadline, std::move(done)});
}

std::vector<JobWaiters::Waiter> JobWaiters::take(JobId job)
{
    const auto found = this->waiters.find(job);
    if (found == this->waiters.end())
        return {};
    std::vector<Waiter> taken = std::move(found->second);
    this->waiters.erase(found);
    return taken;
}

std::vector<std::pair<JobId, JobWaiters::Waiter>> JobWaiters::takeExpired(Instant now)
{
    std::vector<std::pair<JobId, Waiter>> expired;
    for (auto entry = this->waiters.begin(); entry != this->waiters.end();) {
        std::vector<Waiter> remaining;
        for (Waiter &waiter : entry->second) {
            if (waiter.deadline <= now)
                expired.emplace_back(entry->first, std::move(waiter));
            else
                remaining.push_back(std::move(waiter));
        }
        entry->second = std::move(remaining);
        entry = entry->second.empty() ? this->waiters.erase(entry) : std::next(entry);
    }
    return expired;
}

std::vector<std::pair<JobId, JobWaiters::Waiter>> JobWaiters::takeAll()
{
    return this->takeExpired(Instant::max());
}

} // namespace guavavalve
