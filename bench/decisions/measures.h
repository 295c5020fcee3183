#pragma once

namespace guavavalve::bench {

/// Prints what one end, one submission and one decision cost together as the fleet and the queue
/// grow.
void measureGrowth(bool quick);

/// Prints the memory that a task, a target and a team take.
void measureMemory();

/// Prints placements a second with 1, 2, 4 and 8 threads over 64 shards.
void measureThreads(bool quick);

} // namespace guavavalve::bench
