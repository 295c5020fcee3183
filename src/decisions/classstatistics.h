#pragma once

#include <cstdint>

namespace guavavalve {

/// How one class of work stands. Counts since the scheduler was made.
struct ClassStatistics
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t placed = 0;
    std::uint64_t refused = 0;
    std::uint64_t preempted = 0; ///< throttled, checkpointed or stopped to make room
};

} // namespace guavavalve
