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

/// Which work may be placed on a target.
enum class Availability : std::uint8_t {
    Normal, ///< any work
    Reserved, ///< the reservation's queue, and work that ends before the reservation starts
    Closed, ///< none: unknown, lost, departing or quarantined
};

inline constexpr std::size_t availabilityCount = 3;

/// One target and the resources allocated on it.
struct TargetRecord
{
    TargetInfo info;
    Resources placed;
    Resources headroom; ///< for prompt work, including what prompt work has placed
    Resources promptPlaced;
    std::vector<Index> tasks; ///< placed here
    std::int64_t usedMilliCores = 0; ///< last measured, sum over its tasks
    std::int64_t usedMemoryMb = 0;
    bool known = false; ///< announced and not lost
    Index headroomPosition = noIndex; ///< in the fleet's list of targets with headroom
    bool quarantined = false;
    bool freed = false; ///< has gained room since the last decision
    Index reservation = noIndex;
    Index bucket = noIndex; ///< in the index of free capacity
    Index bucketPosition = 0;
    Index sizeClass = noIndex; ///< in the table of sizes; noIndex if not counted there
    bool countedInTotal = false; ///< counted in the fleet's total
    float suspicion = 0.0F; ///< evidence that it fails every task; see Quarantine
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

    /// Free capacity for work other than prompt. May be negative while headroom that was just added
    /// is still in use by other work.
    Resources sharedFree() const
    {
        Resources left = this->free();
        for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
            const std::int64_t unused =
                this->headroom.amounts[kind] - this->promptPlaced.amounts[kind];
            left.amounts[kind] -= unused > 0 ? unused : 0;
        }
        return left;
    }

    Resources roomFor(WorkClass workClass) const
    {
        return workClass == WorkClass::Prompt ? this->free() : this->sharedFree();
    }
};

} // namespace guavavalve::internal
