#include <catch2/catch.hpp>

#include "raftsimulation.h"

#include <iostream>

using namespace guavavalve;

namespace {

struct Tally
{
    std::size_t commits = 0;
    std::size_t leaders = 0;
    std::size_t crashes = 0;
    std::size_t lostDisks = 0;
    std::size_t snapshots = 0;
    std::size_t memberChanges = 0;
    std::size_t refusals = 0;
};

void runSeed(std::uint64_t seed, std::size_t steps, RaftSimulation::FaultRates faultRates,
             Tally &tally, std::size_t minCopies, Milliseconds goneAfter)
{
    INFO("seed " << seed);
    const std::size_t voters = seed % 2 == 0 ? 3 : 5;
    RaftSimulation simulation(seed, 6, voters, minCopies, goneAfter);
    simulation.setFaultRates(faultRates);
    for (std::size_t i = 0; i < steps && !simulation.hasFailed(); ++i)
        simulation.step();
    REQUIRE(simulation.failure() == RaftSimulation::none);
    const bool recovers = simulation.recovers(Milliseconds(60000));
    INFO(simulation.describe());
    REQUIRE(simulation.failure() == RaftSimulation::none);
    REQUIRE(recovers);
    tally.commits += simulation.commits();
    tally.leaders += simulation.leaders();
    tally.crashes += simulation.crashes;
    tally.lostDisks += simulation.lostDisks;
    tally.snapshots += simulation.snapshotsInstalled;
    tally.memberChanges += simulation.memberChanges;
    tally.refusals += simulation.refusals;
}

Tally runSeeds(std::uint64_t first, std::size_t seeds, std::size_t steps,
               RaftSimulation::FaultRates faultRates = {}, std::size_t minCopies = 1,
               Milliseconds goneAfter = Milliseconds(0))
{
    std::cout << "seeds " << first << " to " << first + seeds - 1 << ", " << steps << " steps each"
              << std::endl;
    Tally tally;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
        runSeed(seed, steps, faultRates, tally, minCopies, goneAfter);
    std::cout << tally.commits << " commits, " << tally.leaders << " leaders, " << tally.crashes
              << " crashes, " << tally.lostDisks << " lost disks, " << tally.snapshots
              << " snapshots installed, " << tally.memberChanges << " member changes, "
              << tally.refusals << " refused writes" << std::endl;
    CHECK(tally.commits > seeds * 20);
    CHECK(tally.crashes > seeds);
    return tally;
}

} // namespace

// Messages are lost, duplicated, delayed and reordered; replicas are partitioned, frozen, killed at
// any step of a write, and lose their disks; members are added and removed, and clocks drift. In
// any order of events there must be one leader per term and one log, no lost committed entry, no
// reverted state and no stale lease, and the group must recover once the faults end.
TEST_CASE("the replicated log keeps its guarantees under random faults", "[raft][random]")
{
    runSeeds(1, 60, 20000);
}

// The same while disks become full and have space again: several at once, at the start of a
// replica, while a snapshot is saved and while a vote is stored. A write that a full disk refused
// must not be acknowledged, and an acknowledged one must be on disk.
TEST_CASE("the replicated log keeps its guarantees while disks become full", "[raft][random]")
{
    RaftSimulation::FaultRates faultRates;
    faultRates.fullDisk = 5;
    const Tally tally = runSeeds(5000, 60, 20000, faultRates);
    CHECK(tally.refusals > 1000);
}

// Commits wait for a third disk while a group has fewer than five voters. No change of the members,
// loss of a disk or hand-over may leave such a group without progress once the faults end.
TEST_CASE("a group that waits for more copies keeps its guarantees under random faults",
          "[raft][random]")
{
    runSeeds(9000, 30, 20000, {}, 3);
}

// Guards against two voters for one place, or none, when silent voters return, and are replaced, in
// any order.
TEST_CASE("a group that replaces silent voters keeps its guarantees under random faults",
          "[raft][random]")
{
    runSeeds(13000, 30, 20000, {}, 3, Milliseconds(1500));
}

// Not part of a default run: `replicastest "[soak]"`, with millions of steps.
TEST_CASE("the replicated log keeps its guarantees in a long random run", "[.][soak]")
{
    runSeeds(100000, 1000, 20000);
    runSeeds(200000, 1000, 20000, {}, 3);
    runSeeds(300000, 1000, 20000, {}, 3, Milliseconds(1500));
}
