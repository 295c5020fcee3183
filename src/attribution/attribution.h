#pragma once

#include "attribution/jobaccount.h"
#include "attribution/logevent.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve::attribution {

/// A span of calendar time, in milliseconds.
using Span = std::pair<std::int64_t, std::int64_t>;

/// What one reading of the logs has found.
struct Findings
{
    std::vector<JobAccount> jobs; ///< in the order of acceptance
    std::vector<Span> withoutLeader;
    std::int64_t beginsAtMs = 0; ///< of the log
    std::int64_t endsAtMs = 0;
};

/// Puts the time of each job down to causes, from the log lines of all processes. Lines may come in
/// any order of processes, each process's in the order of time.
class Attribution
{
public:
    void take(const LogEvent &event);
    Findings findings() const;

private:
    /// One run of one task.
    struct Run
    {
        std::int64_t placedAtMs = 0;
        std::int64_t overAtMs = 0; ///< 0: it is not over
        std::string outcome;
    };
    struct Step
    {
        std::map<std::uint32_t, std::map<std::uint32_t, Run>> tasks; ///< by index, then run number
        std::map<std::string, std::int64_t> waitedMs; ///< by name, as last told
        std::int64_t estimatedMs = 0; ///< of a task, by the caller
    };
    struct Job
    {
        JobAccount account;
        std::string state;
        std::map<std::string, Step> steps; ///< by occurrence and step
    };

    void takeAccepted(const LogEvent &event);
    void takeRefused(const LogEvent &event);
    void takePlaced(const LogEvent &event);
    void takeOver(const LogEvent &event);
    void takeEnds(const LogEvent &event);
    void takeLeader(const LogEvent &event);
    std::int64_t addRuns(const Step &step, DelayTimes &delays) const;
    JobAccount accountOf(const Job &job, const std::vector<Span> &withoutLeader) const;
    std::vector<Span> spansWithoutLeader() const;

    std::map<std::string, Job> jobs;
    std::vector<JobAccount> refusals;
    std::vector<Span> lags; ///< of the controller's loop
    std::vector<Span> reigns; ///< from "leads" to the last decision of that process
    std::map<std::string, std::size_t> reignOf; ///< by process, its newest
    std::int64_t beginsAtMs = 0;
    std::int64_t endsAtMs = 0;
};

} // namespace guavavalve::attribution
