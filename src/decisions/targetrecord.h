#pragma once

#include "core/clock.h"
#include "core/resources.h"
#include "core/workclass.h"
#include "decisions/indexes.h"
#include "decisions/targetinfo.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace guavavalve::internal {

/// Who may be placed on a target.
enum class Availability : std::uint8_t {
    Normal, ///< anyone
    Reserved, ///< the holder of its reservation, and what ends before that starts
    Closed, ///< nobody: unknown, lost, departing or in quarantine
};

inline constexpr std::size_t availabilityCount = 3;

/// One target and what is set aside on it.
struct TargetRecord
{
    TargetInfo info;
    Resources placed;
    Resources hold; ///< kept for prompt work, what is placed of it included
    Resources promptPlaced;
    std::vector<Index> tasks; ///< placed here
    std::int64_t usedMilliCores = 0; ///< last measured, of all its tasks
    std::int64_t usedMemoryMb = 0;
    bool known = false; ///< announced and not lost
    Index holdPosition = noIndex; ///< in the fleet's list of targets that have a hold
    bool quarantined = false;
    bool freed = false; ///< has gained room since the last decision
    Index reservation = noIndex;
    Index bucket = noIndex; ///< in the index of free room
    Index bucketPosition = 0;
    Index sizeClass = noIndex; ///< in the table of sizes; noIndex: not counted there
    bool staying = false; ///< counted in the fleet's total
    float suspicion = 0.0F; ///< evidence that it fails everything; see Quarantine
    std::uint8_t probeSuccesses = 0;
    bool probing = false;
    Instant probeAt{};
    Milliseconds probeWait{0};

    Availability availability() const
    {
        if (!this->known || this->info.departing || this->quarantined)
            return Availability::Closed;
        if (this->reservation != noIndex)
            return Availability::Reserved;
        return Availability::Normal;
    }

    Resources free() const { return this->info.total - this->placed; }

    /// What is left for work other than prompt. May be below zero where a hold is new.
    Resources sharedFree() const
    {
        Resources left = this->free();
        for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
            const std::int64_t held = this->hold.amounts[kind] - this->promptPlaced.amounts[kind];
            left.amounts[kind] -= held > 0 ? held : 0;
        }
        return left;
    }

    Resources roomFor(WorkClass workClass) const
    {
        return workClass == WorkClass::Prompt ? this->free() : this->sharedFree();
    }
};

} // namespace guavavalve::internal
