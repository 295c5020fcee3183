#pragma once

#include "attribution/attribution.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace guavavalve::attribution {

inline constexpr std::size_t jobFateCount = jobFateNames.size();

/// What became of the jobs of one queue, and where the time of its delayed ones went.
struct QueueTotals
{
    std::size_t jobs = 0;
    std::array<std::size_t, jobFateCount> byFate{};
    std::array<std::size_t, delayCauseCount> byCause{}; ///< delayed jobs by their main cause
    DelayTimes delays{}; ///< of delayed jobs
};

/// It was late, refused or never done.
bool isDelayed(const JobAccount &job);

/// By queue; refused jobs, whose queue is not told, under "".
std::map<std::string, QueueTotals> totalsOf(const Findings &findings);

} // namespace guavavalve::attribution
