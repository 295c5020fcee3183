#pragma once

#include "attribution/delaycause.h"

#include <cstdint>
#include <string>

namespace guavavalve::attribution {

/// The final state of a job, relative to its objective.
enum class JobFate : std::uint8_t { InTime, Late, NeverDone, Refused, Cancelled, Failed };

inline constexpr EnumNames<JobFate, 6> jobFateNames{{
    {JobFate::InTime, "in-time"},
    {JobFate::Late, "late"},
    {JobFate::NeverDone, "never-done"},
    {JobFate::Refused, "refused"},
    {JobFate::Cancelled, "cancelled"},
    {JobFate::Failed, "failed"},
}};

/// One job and the causes of its delay.
struct JobSummary
{
    std::string job;
    std::string queue;
    std::string account;
    JobFate fate = JobFate::InTime;
    std::int64_t acceptedAtMs = 0; ///< calendar time; of a refused job, the time of the refusal
    std::int64_t tookMs = 0; ///< until its end, or until the end of the log
    std::int64_t objectiveMs = 0;
    DelayTimes delays{};
    DelayCause cause = DelayCause::Unexplained; ///< the one that took the most time
};

} // namespace guavavalve::attribution
