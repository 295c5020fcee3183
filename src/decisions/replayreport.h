#pragma once

#include "decisions/replayoutcome.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace guavavalve {

/// What replaying a trace showed.
struct ReplayReport
{
    std::uint64_t events = 0;
    std::uint64_t decisions = 0;
    /// The first decision that differs from the recorded one, in words with its line; empty: none.
    std::string firstDifference;
    std::vector<ReplayOutcome> outcomes; ///< as stated in the trace
    /// Everything that outcomes can be stated about, by name: placed, refused, running, waiting,
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
