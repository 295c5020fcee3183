#pragma once

#include "attribution/jobsummary.h"
#include "attribution/logevent.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve::attribution {

/// A period of calendar time: its start and end, in milliseconds.
using Span = std::pair<std::int64_t, std::int64_t>;

/// The result of an analysis of the logs.
struct Findings
{
    std::vector<JobSummary> jobs; ///< ordered by acceptance time
    std::vector<Span> withoutLeader; ///< periods in which no controller made decisions
    std::int64_t beginsAtMs = 0; ///< calendar time of the first log event
    std::int64_t endsAtMs = 0; ///< calendar time of the last log event
};

/// Attributes the time that each job took to causes, based on the log events of all processes.
/// Events of different processes may be interleaved arbitrarily; those of one process must be added
/// in chronological order.
class Attribution
{
public:
    void addEvent(const LogEvent &event);
    /// The findings from the events that have been added so far.
    Findings findings() const;

private:
    struct Run
    {
        std::int64_t placedAtMs = 0;
        std::int64_t endedAtMs = 0; ///< 0: it has not ended
        std::string outcome;
    };
    struct Step
    {
        std::map<std::uint32_t, std::map<std::uint32_t, Run>> tasks; ///< by index, then run number
        std::map<std::string, std::int64_t> waitedMs; ///< by the name of the cause, as last logged
        std::int64_t estimatedMs = 0; ///< run time of a task, as estimated by the caller
    };
    struct Job
    {
        JobSummary summary;
        std::string state;
        std::map<std::string, Step> steps; ///< by "occurrence.step"
    };

    void addAcceptedJob(const LogEvent &event);
    void addRefusedJob(const LogEvent &event);
    void addPlacement(const LogEvent &event);
    void addJobEnd(const LogEvent &event);
    void addRunEnds(const LogEvent &event);
    void recordLeadership(const LogEvent &event);
    std::int64_t addRuns(const Step &step, DelayTimes &delays) const;
    JobSummary summarize(const Job &job, const std::vector<Span> &withoutLeader) const;
    std::vector<Span> spansWithoutLeader() const;

    std::map<std::string, Job> jobs;
    std::vector<JobSummary> refusals;
    std::vector<Span> loopLags; ///< periods in which the controller's loop was behind schedule
    std::vector<Span> leaderships; ///< from "leads" to the last decision event of a process
    std::map<std::string, std::size_t> newestLeadership; ///< index into leaderships, by process
    std::int64_t beginsAtMs = 0;
    std::int64_t endsAtMs = 0;
};

} // namespace guavavalve::attribution
