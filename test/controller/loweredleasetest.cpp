#include <catch2/catch.hpp>

#include "controller/controllerfixture.h"

using namespace guavavalve;

// An operator lowers the targets' lease from 3.3 s to 0.45 s, and the controller dies. A target
// that is partitioned at that time runs its tasks for the rest of the old lease. A successor that
// applied the new lease would place them elsewhere too early, and they would run twice.
TEST_CASE("a new controller waits for the longest lease that its predecessor may have granted",
          "[controller]")
{
    ControllerFixture cell;
    const auto reply = cell.announce(ControllerFixture::target("t1"));
    REQUIRE(reply.has_value());
    const Milliseconds longest(cell.state.read([](const ClusterState &cluster) {
        return cluster.configuration().longestTargetLeaseMs();
    }));
    REQUIRE(longest.count() > 2 * reply.value().leaseMs);

    cell.controller.leadershipChanged(false);
    const Instant elected = monotonicNow();
    cell.controller.leadershipChanged(true);
    REQUIRE(ControllerFixture::waitUntil([&cell] {
        return cell.state.read(
            [](const ClusterState &cluster) { return cluster.targetNamed("t1")->lapsed; });
    }));
    // Holds at any speed of the machine: a lease may be declared lapsed late, but never early.
    CHECK((monotonicNow() - elected).count() >= Microseconds(longest).count());
}
