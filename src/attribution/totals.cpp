#include "attribution/totals.h"

namespace guavavalve::attribution {

bool isDelayed(const JobSummary &job)
{
    return job.fate == JobFate::Late || job.fate == JobFate::NeverDone
        || job.fate == JobFate::Refused;
}

std::map<std::string, QueueTotals> totalsOf(const Findings &findings)
{
    std::map<std::string, QueueTotals> totals;
    for (const JobSummary &job : findings.jobs) {
        QueueTotals &queue = totals[job.queue];
        ++queue.jobs;
        ++queue.byFate[static_cast<std::size_t>(job.fate)];
        if (!isDelayed(job))
            continue;
        ++queue.byCause[static_cast<std::size_t>(job.cause)];
        for (std::size_t i = 0; i < delayCauseCount; ++i)
            queue.delays[i] += job.delays[i];
    }
    return totals;
}

} // namespace guavavalve::attribution
