#pragma once

#include "attribution/attribution.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace guavavalve::attribution {

inline constexpr std::size_t jobFateCount = jobFateNames.size();

/// The jobs of one queue by fate, and the causes of their delays.
struct QueueTotals
{
    std::size_t jobs = 0;
    std::array<std::size_t, jobFateCount> byFate{};
    std::array<std::size_t, delayCauseCount> byCause{}; ///< number of delayed jobs by main cause
    DelayTimes delays{}; ///< summed over the delayed jobs
};

/// Whether \a job was late, refused or never done.
bool isDelayed(const JobSummary &job);

/// The totals by queue; refused jobs, whose queue is not logged, are listed under "".
std::map<std::string, QueueTotals> totalsOf(const Findings &findings);

} // namespace guavavalve::attribution
