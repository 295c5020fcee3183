#pragma once

#include "core/ids.h"
#include "decisions/indexes.h"

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace guavavalve::internal {

/// Jobs that have failed lately, to tell a job that fails everywhere from a target that fails
/// everything. Bounded: the oldest are forgotten.
class JobFailures
{
public:
    void failed(JobId job, Index target);
    void succeeded(JobId job);

    /// True if the job has failed on several targets and succeeded less often than it failed.
    bool failsEverywhere(JobId job) const;

private:
    static constexpr std::size_t targetsToBlame = 3;

    struct Entry
    {
        std::array<Index, targetsToBlame> targets{};
        std::uint32_t distinct = 0;
        std::uint32_t failures = 0;
        std::uint32_t successes = 0;
    };

    std::unordered_map<JobId, Entry> entries;
    std::deque<JobId> ages;
};

} // namespace guavavalve::internal
