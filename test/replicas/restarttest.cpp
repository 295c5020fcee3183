#include <catch2/catch.hpp>

#include "raftsimulation.h"

using namespace guavavalve;

// All replicas are restarted at the same time. Guards against each waiting for a whole election
// timeout before it asks for votes, because a leader might still rely on its lease: callers then
// wait 0.5 to 1 s longer than the restart takes. When every voter reports that it follows no
// leader, there is no such leader.
TEST_CASE("replicas that restart together elect a leader without waiting for an election timeout",
          "[raft]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RaftSimulation simulation(seed, 5, 5);
        simulation.setFaultRates({0, 0, 0, 0});
        simulation.run(Milliseconds(3000));
        REQUIRE(simulation.proposeAtLeader());
        simulation.run(Milliseconds(300));
        for (std::size_t i = 0; i < 5; ++i)
            simulation.crash(i);
        for (std::size_t i = 0; i < 5; ++i)
            simulation.restart(i);
        simulation.run(Milliseconds(150));
        INFO("seed " << seed << "\n" << simulation.describe());
        CHECK(simulation.leader());
        CHECK(simulation.failure() == RaftSimulation::none);
    }
}

// All replicas but the leader restart, and the leader is unreachable. The others cannot know
// whether it still holds its lease, so they must wait for the election timeout.
TEST_CASE("restarted replicas wait for the election timeout while a leader may hold its lease",
          "[raft]")
{
    RaftSimulation simulation(3, 3, 3);
    simulation.setFaultRates({0, 0, 0, 0});
    simulation.run(Milliseconds(3000));
    REQUIRE(simulation.leader());
    const std::size_t old = *simulation.leader();
    const std::uint64_t term = simulation.core(old).term();
    simulation.cutOff(old);
    for (std::size_t i = 0; i < 3; ++i) {
        if (i != old) {
            simulation.crash(i);
            simulation.restart(i);
        }
    }
    simulation.run(Milliseconds(200));
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(simulation.core(i).term() == term);
    CHECK(simulation.failure() == RaftSimulation::none);
}
