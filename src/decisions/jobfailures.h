#pragma once

#include "core/ids.h"
#include "decisions/indexes.h"

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace guavavalve::internal {

/// Recent failures by job, to distinguish a job that fails on every target from a target that
/// fails every job. The number of jobs is bounded; the oldest entries are evicted.
class JobFailures
{
public:
    void recordFailure(JobId job, Index target);
    void recordSuccess(JobId job);

    /// True if the job has failed on several targets and has failed more often than it succeeded.
    bool failsEverywhere(JobId job) const;

private:
    static constexpr std::size_t minDistinctTargets = 3;

    struct Entry
    {
        std::array<Index, minDistinctTargets> targets{};
        std::uint32_t distinctTargets = 0;
        std::uint32_t failures = 0;
        std::uint32_t successes = 0;
    };

    std::unordered_map<JobId, Entry> entries;
    std::deque<JobId> insertionOrder;
};

} // namespace guavavalve::internal
