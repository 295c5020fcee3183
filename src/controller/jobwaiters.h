#pragma once

#include "controller/jobstatus.h"
#include "core/clock.h"
#include "core/done.h"

#include <unordered_map>
#include <vector>

namespace guavavalve {

/// The callers that wait for jobs to finish. Not thread safe.
class JobWaiters
{
public:
    /// A caller that waits until \a deadline at the latest.
    struct Waiter
    {
        Instant deadline;
        Done<JobStatus> done;
    };

    void add(JobId job, Instant deadline, Done<JobStatus> done);

    /// Removes and returns the waiters of \a job.
    std::vector<Waiter> take(JobId job);

    /// Removes and returns the waiters whose deadline is not after \a now, with their jobs.
    std::vector<std::pair<JobId, Waiter>> takeExpired(Instant now);

    /// Removes and returns all waiters, with their jobs.
    std::vector<std::pair<JobId, Waiter>> takeAll();

private:
    std::unordered_map<JobId, std::vector<Waiter>> waiters;
};

} // namespace guavavalve
