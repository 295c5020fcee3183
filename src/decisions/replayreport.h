#pragma once

#include "decisions/replayoutcome.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace guavavalve {

/// Result of replaying a trace.
struct ReplayReport
{
    std::uint64_t events = 0;
    std::uint64_t decisions = 0;
    /// Describes the first decision that differs from the recorded one, with its line number; empty
    /// if there is none.
    std::string firstDifference;
    std::vector<ReplayOutcome> outcomes; ///< as expected by the trace
    /// The figures that a trace can state outcomes for, by name: placed, refused, running, waiting,
    /// preempted, quarantined, packing, share-error, prompt-wait-p99-ms, room-breaches,
    /// limit-breaches and double-placements.
    std::map<std::string, double> measures;

    bool passed() const
    {
        return this->firstDifference.empty()
            && std::all_of(this->outcomes.begin(), this->outcomes.end(),
                           [](const ReplayOutcome &outcome) { return outcome.met(); });
    }
};

} // namespace guavavalve
