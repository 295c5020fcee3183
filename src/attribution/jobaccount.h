#pragma once

#include "attribution/delaycause.h"

#include <cstdint>
#include <string>

namespace guavavalve::attribution {

/// How a job fared.
enum class JobFate : std::uint8_t { InTime, Late, NeverDone, Refused, Cancelled, Failed };

inline constexpr EnumNames<JobFate, 6> jobFateNames{{
    {JobFate::InTime, "in-time"},
    {JobFate::Late, "late"},
    {JobFate::NeverDone, "never-done"},
    {JobFate::Refused, "refused"},
    {JobFate::Cancelled, "cancelled"},
    {JobFate::Failed, "failed"},
}};

/// One job, and what its time went to.
struct JobAccount
{
    std::string job;
    std::string queue;
    std::string account;
    JobFate fate = JobFate::InTime;
    std::int64_t acceptedAtMs = 0; ///< calendar time; of a refusal, when it was given
    std::int64_t tookMs = 0; ///< until its end, or until the log ends
    std::int64_t objectiveMs = 0;
    DelayTimes delays{};
    DelayCause cause = DelayCause::Unexplained; ///< that took the most
};

} // namespace guavavalve::attribution
