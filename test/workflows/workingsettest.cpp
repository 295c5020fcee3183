#include <catch2/catch.hpp>

#include "workflows/planning/workingset.h"
#include "workflows/simulation.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr Instant now{std::chrono::seconds(100)};
constexpr std::int64_t capacityOfEach = 16000;

/// A fleet of 6,000 targets of which \a polled are polled, with work for some of these.
WorkingSetDemand demandOf(std::size_t polled, std::int64_t placedMilliCores,
                          std::int64_t waitingMilliCores = 0)
{
    WorkingSetDemand demand;
    demand.known = 6000;
    demand.polled = polled;
    demand.open = polled;
    const auto total = static_cast<std::int64_t>(polled) * capacityOfEach;
    demand.capacity[ResourceKind::MilliCores] = total;
    demand.free[ResourceKind::MilliCores] = total - placedMilliCores;
    demand.placed[ResourceKind::MilliCores] = placedMilliCores;
    demand.waiting[ResourceKind::MilliCores] = waitingMilliCores;
    return demand;
}

constexpr unsigned largeFleet = 1200;

/// Number of targets that are polled in the next second.
std::size_t polledInOneSecond(Simulation &simulation)
{
    simulation.fleet.polled.clear();
    simulation.runFor(Milliseconds(1000));
    return simulation.fleet.polled.size();
}

void submitTasks(Simulation &simulation, std::uint64_t firstId, unsigned workflows)
{
    for (unsigned i = 0; i < workflows; ++i)
        simulation.submit(static_cast<WorkflowId>(firstId + i), {StoreFixture::step(20)});
}

} // namespace

TEST_CASE("a fleet of a few hundred targets is polled as a whole", "[working-set]")
{
    WorkingSet set;
    WorkingSetDemand demand;
    demand.known = 350;
    CHECK(set.missing(demand, now) == 350);
    demand.polled = 350;
    CHECK(set.missing(demand, now) == 0);
    CHECK(set.surplus(demand, now) == 0);
}

TEST_CASE("the number of polled targets follows the work and not the fleet", "[working-set]")
{
    WorkingSet set;
    CHECK(set.missing(demandOf(400, 0), now) == 0);
    // 400 full targets: the room of 800 further ones is to be free.
    CHECK(set.missing(demandOf(400, 400 * capacityOfEach), now) == 800);
    CHECK(WorkingSet().missing(demandOf(400, 0, 400 * capacityOfEach), now) == 400);
    WorkingSetDemand larger = demandOf(400, 400 * capacityOfEach);
    larger.known = 12000;
    CHECK(WorkingSet().missing(larger, now) == 800);
    // The 800 have not answered yet.
    CHECK(set.missing(demandOf(1200, 400 * capacityOfEach), now + Milliseconds(10)) == 0);
}

TEST_CASE("more targets are polled while steps wait for room", "[working-set]")
{
    // Guards against a step that waits for a rare kind of target among those that are not polled.
    WorkingSet set;
    WorkingSetDemand demand = demandOf(1000, 0);
    demand.isShort = true;
    CHECK(set.missing(demand, now) == 251);
    demand.polled = demand.known;
    CHECK(set.missing(demand, now + Milliseconds(1000)) == 0);
}

TEST_CASE("targets rest only some time after others were missing", "[working-set]")
{
    // Guards against targets that are put to rest and woken by turns.
    WorkingSet set;
    CHECK(set.surplus(demandOf(1000, 0), now) == 600);
    CHECK(set.surplus(demandOf(1000, 300 * capacityOfEach), now) == 0);
    CHECK(set.missing(demandOf(1000, 400 * capacityOfEach), now) > 0);
    CHECK(set.surplus(demandOf(1000, 0), now + Milliseconds(2000)) == 0);
    CHECK(set.surplus(demandOf(1000, 0), now + Milliseconds(4000)) == 600);
}

// Guards against a controller whose work grows with the fleet although most targets are idle.
TEST_CASE("a controller polls what it needs of a large fleet with little work", "[large]")
{
    spdlog::set_level(spdlog::level::off);
    Simulation simulation(1, largeFleet);
    simulation.runFor(Milliseconds(6000));
    CHECK(polledInOneSecond(simulation) < 2 * WorkingSet::minPolled);
    CHECK(simulation.controller().usableTargets() == largeFleet);

    // Room of four tasks a target: this work fills a third of the fleet.
    submitTasks(simulation, 1, 80);
    simulation.runFor(Milliseconds(1000));
    CHECK(simulation.fleet.starts == 1600);
    simulation.runFor(Milliseconds(4000));
    CHECK(simulation.isAllOver());
    simulation.runFor(Milliseconds(8000));
    CHECK(polledInOneSecond(simulation) < 2 * WorkingSet::minPolled);
    CHECK(simulation.fleet.violation.empty());
}

// Guards against a controller that is busy with idle targets when it takes over.
TEST_CASE("a new controller of a large fleet starts work within a second", "[large]")
{
    spdlog::set_level(spdlog::level::off);
    Simulation simulation(1, largeFleet);
    simulation.runFor(Milliseconds(2000));
    simulation.changeController(Milliseconds(0));
    simulation.fleet.polled.clear();
    submitTasks(simulation, 1, 10);
    simulation.loop.runFor(Milliseconds(900));
    CHECK(simulation.fleet.starts == 200);
    CHECK(simulation.fleet.polled.size() < largeFleet / 2);
    simulation.runFor(Milliseconds(20000));
    CHECK(simulation.isAllOver());
    CHECK(simulation.fleet.violation.empty());
}

// Guards against work that is lost or runs twice on targets that crash, drain or leave while they
// are not polled.
TEST_CASE("targets that change while they rest do no harm", "[large]")
{
    spdlog::set_level(spdlog::level::off);
    Simulation simulation(3, largeFleet);
    simulation.fleet.faults = {0.01, 0.02, 0.02, 0.02, 0.05};
    simulation.runFor(Milliseconds(6000));
    for (unsigned i = 0; i < 240; ++i) {
        const std::string name = "t" + std::to_string(1 + 5 * i);
        if (i % 3 == 0)
            simulation.fleet.crash(name);
        else if (i % 3 == 1)
            simulation.drain(name);
        else
            simulation.restart(name);
    }
    submitTasks(simulation, 1, 100);
    simulation.runFor(Milliseconds(2000));
    simulation.changeController(Milliseconds(500));
    submitTasks(simulation, 1000, 50);
    simulation.runFor(Milliseconds(20000));
    CHECK(simulation.isAllOver());
    CHECK(simulation.fleet.violation.empty());
}
