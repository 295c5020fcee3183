#include <catch2/catch.hpp>

#include "raftsimulation.h"

using namespace guavavalve;

// All replicas are restarted at once. Each waited for a whole election timeout before it asked for
// votes, since a leader might still rely on its promise; callers waited 0.5 to 1 s longer than the
// restart took. When every voter says that it follows nobody, there is no such leader.
TEST_CASE("all replicas that restart together have a leader at once", "[raft]")
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

// One replica alone does not come back: the others cannot know whether it still leads somewhere,
// and wait as before.
TEST_CASE("a leader that may still be there is waited for after a restart", "[raft]")
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
