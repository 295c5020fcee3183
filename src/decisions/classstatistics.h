#pragma once

#include <cstdint>

namespace guavavalve {

/// Figures of one class of work. `placed`, `refused` and `preempted` count since the scheduler was
/// created.
struct ClassStatistics
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t placed = 0;
    std::uint64_t refused = 0;
    std::uint64_t preempted = 0; ///< throttled, checkpointed or stopped to free capacity
};

} // namespace guavavalve
