#pragma once

namespace guavavalve::bench {

/// Prints the cost of one task end, one submission and one decide() together, for growing fleets
/// and queues.
void measureGrowth(bool quick);

/// Prints the memory used by a task, a target and a team.
void measureMemory();

/// Prints placements per second with 1, 2, 4 and 8 threads over 64 shards.
void measureThreads(bool quick);

} // namespace guavavalve::bench
