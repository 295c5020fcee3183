#include <catch2/catch.hpp>

#include "raftsimulation.h"
#include "singlereplica.h"

using namespace guavavalve;

namespace {

constexpr RaftSimulation::FaultRates calm{0, 0, 0, 0};

std::size_t leadAndCommit(RaftSimulation &simulation)
{
    simulation.setFaultRates(calm);
    simulation.run(Milliseconds(3000));
    REQUIRE(simulation.leader());
    REQUIRE(simulation.proposeAtLeader());
    simulation.run(Milliseconds(500));
    return *simulation.leader();
}

} // namespace

// The leader's disk is full while the others have space and form a quorum, so callers must not be
// affected. Guards against a process that exits because its disk is full, which makes every caller
// wait for the next leader.
TEST_CASE("a leader whose disk is full keeps committing while a quorum of the others stores",
          "[raft]")
{
    RaftSimulation simulation(11, 3, 3);
    const std::size_t leader = leadAndCommit(simulation);
    const std::uint64_t term = simulation.core(leader).term();
    simulation.setFull(leader, true);
    const std::size_t before = simulation.commits();
    for (int i = 0; i < 5; ++i) {
        REQUIRE(simulation.proposeAtLeader());
        simulation.run(Milliseconds(200));
    }
    CHECK(simulation.commits() >= before + 5);
    CHECK(simulation.refusals > 0);
    CHECK(simulation.core(leader).term() == term);
    // After a crash it restarts without these entries; the replicas that stored them have them.
    simulation.crash(leader);
    simulation.setFull(leader, false);
    simulation.restart(leader);
    simulation.run(Milliseconds(5000));
    REQUIRE(simulation.recovers(Milliseconds(10000)));
    CHECK(simulation.failure() == RaftSimulation::none);
}

// With one follower down and the other's disk full there is no quorum. A command that only the
// leader has stored must not be acknowledged until the full disk has space again.
TEST_CASE("a follower whose disk is full acknowledges nothing until it has space", "[raft]")
{
    RaftSimulation simulation(12, 3, 3);
    const std::size_t leader = leadAndCommit(simulation);
    const std::size_t full = (leader + 1) % 3;
    simulation.crash((leader + 2) % 3);
    simulation.setFull(full, true);
    const std::size_t before = simulation.commits();
    REQUIRE(simulation.proposeAtLeader());
    simulation.run(Milliseconds(300));
    CHECK(simulation.commits() == before);
    simulation.setFull(full, false);
    simulation.run(Milliseconds(5000));
    REQUIRE(simulation.recovers(Milliseconds(10000)));
    CHECK(simulation.commits() > before);
    CHECK(simulation.failure() == RaftSimulation::none);
}

// A replica whose disk is full is asked for its vote. Had it voted without storing the vote, it
// could vote for another candidate after a crash, and two replicas would lead in one term.
TEST_CASE("a replica does not grant a vote that it cannot store", "[raft]")
{
    RaftSimulation simulation(13, 3, 3);
    const std::size_t leader = leadAndCommit(simulation);
    simulation.setFull((leader + 1) % 3, true);
    simulation.crash(leader);
    const std::size_t leaders = simulation.leaders();
    simulation.run(Milliseconds(5000));
    CHECK(simulation.leaders() == leaders);
    simulation.setFull((leader + 1) % 3, false);
    simulation.run(Milliseconds(5000));
    CHECK(simulation.leaders() > leaders);
    CHECK(simulation.failure() == RaftSimulation::none);
}

// With real files and threads: the process continues, reports once that its disk refuses writes and
// once that it accepts them again, and acknowledges commands only when they are stored.
TEST_CASE("a replica keeps running while its disk refuses writes", "[raftnode]")
{
    SingleReplica replica(ErrorCode::WriteRefused);
    replica.setFailing(true);
    replica.propose("kept");
    CHECK(waitFor([&] { return replica.refusals == 1; }));
    CHECK(replica.acknowledged == 0);
    replica.setFailing(false);
    CHECK(waitFor([&] { return replica.acknowledged == 1; }));
    CHECK(replica.recoveries == 1);
    CHECK(replica.refusals == 1);
    CHECK(replica.storageFailures == 0);
    CHECK(replica.machine.commands().size() == 1);
}
