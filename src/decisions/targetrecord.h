#pragma once

#include "core/clock.h"
#include "core/resources.h"
#include "decisions/indexes.h"
#include "decisions/targetinfo.h"

#include <cstdint>
#include <vector>

namespace guavavalve::internal {

/// Who may be placed on a target.
enum class Zone : std::uint8_t {
    Normal, ///< anyone
    Headroom, ///< prompt work
    Reserved, ///< the holder of its reservation, and what ends before that starts
    Closed, ///< nobody: unknown, lost, departing or in quarantine
};

inline constexpr std::size_t zoneCount = 4;

/// One target and what is set aside on it.
struct TargetRecord
{
    TargetInfo info;
    Resources placed;
    std::vector<Index> tasks; ///< placed here
    std::int64_t usedMilliCores = 0; ///< last measured, of all its tasks
    std::int64_t usedMemoryMb = 0;
    bool known = false; ///< announced and not lost
    bool headroom = false;
    bool quarantined = false;
    bool freed = false; ///< has gained room since the last decision
    Index reservation = noIndex;
    Index bucket = noIndex; ///< in the index of free room
    Index bucketPosition = 0;
    Index sizeClass = noIndex; ///< in the table of sizes; noIndex: not counted there
    float suspicion = 0.0F; ///< evidence that it fails everything; see Quarantine
    std::uint8_t probeSuccesses = 0;
    bool probing = false;
    Instant probeAt{};
    Milliseconds probeWait{0};

    Zone zone() const
    {
        if (!this->known || this->info.departing || this->quarantined)
            return Zone::Closed;
        if (this->reservation != noIndex)
            return Zone::Reserved;
        return this->headroom ? Zone::Headroom : Zone::Normal;
    }

    Resources free() const { return this->info.total - this->placed; }
};

} // namespace guavavalve::internal
