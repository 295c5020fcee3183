#pragma once

#include "controller/jobstatus.h"
#include "core/clock.h"
#include "core/done.h"

#include <unordered_map>
#include <vector>

namespace guavavalve {

/// Those who wait for a job's end. Not thread safe.
class JobWaiters
{
public:
    /// One who waits, until \a deadline at the latest.
    struct Waiter
    {
        Instant deadline;
        Done<JobStatus> done;
    };

    void add(JobId job, Instant deadline, Done<JobStatus> done);

    /// Takes out those who wait for \a job.
    std::vector<Waiter> take(JobId job);

    /// Takes out, by job, those whose deadline is not after \a now.
    std::vector<std::pair<JobId, Waiter>> takeExpired(Instant now);

    /// Takes out everyone.
    std::vector<std::pair<JobId, Waiter>> takeAll();

private:
    std::unordered_map<JobId, std::vector<Waiter>> waiters;
};

} // namespace guavavalve
