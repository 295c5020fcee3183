#include <catch2/catch.hpp>

#include "workflows/planfixture.h"
#include "workflows/randomrounds.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

#include <map>
#include <random>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr WorkflowId job = static_cast<WorkflowId>(1);
constexpr std::uint64_t defaultSeeds = 100;

struct EvacuationFixture : Simulation
{
    EvacuationFixture()
        : Simulation(1)
    {
        spdlog::set_level(spdlog::level::off);
    }

    /// Number of tasks that are placed in \a domain.
    std::size_t placedIn(const std::string &domain)
    {
        return this->machine.read([&](const WorkflowStore &store) {
            std::size_t placed = 0;
            for (const auto &[incarnation, record] : store.incarnations()) {
                if (record.identity.failureDomain == domain)
                    placed += record.placed.size();
            }
            return placed;
        });
    }
};

/// Adds a target in the failure domain \a domain to the fixture's own.
IncarnationId lifeIn(StoreFixture &f, const std::string &domain)
{
    TargetIdentity identity;
    identity.name = "t-" + domain;
    identity.startedAtMs = 1;
    identity.service = "s";
    identity.failureDomain = domain;
    identity.capacity[ResourceKind::MilliCores] = 4000;
    f.apply(RegisterIncarnation{identity});
    return f.store.newestIncarnation(identity.name);
}

void disturb(Simulation &simulation, std::mt19937_64 &random)
{
    const std::string name = randomTarget(simulation, random);
    const std::string domain = std::bernoulli_distribution(0.5)(random) ? "d0" : "d1";
    switch (std::uniform_int_distribution<>(0, 5)(random)) {
    case 0:
        simulation.evacuate(domain, true);
        break;
    case 1:
        simulation.evacuate(domain, false);
        break;
    case 2: // during a change of controller
        simulation.evacuate(domain, true);
        simulation.changeController(Milliseconds(800));
        break;
    case 3:
        simulation.changeController(Milliseconds(800));
        break;
    case 4:
        simulation.fleet.cut(name, false);
        break;
    default:
        simulation.fleet.heal(name);
    }
}

void runSeed(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    Simulation simulation(seed);
    simulation.fleet.faults = {0.03, 0.05, 0.04, 0.05};
    RandomRounds rounds;
    rounds.maxSteps = 2;
    rounds.roundsPerDisturbance = 3;
    rounds.disturb = [&] { disturb(simulation, random); };
    runRounds(simulation, random, rounds);
    simulation.fleet.faults = {};
    for (const std::string &name : simulation.fleet.names())
        simulation.fleet.heal(name);
    simulation.evacuate("d0", false);
    simulation.evacuate("d1", false);
    checkOutcome(simulation, seed);
}

} // namespace

TEST_CASE("an evacuated failure domain takes no placement until it is reopened", "[evacuation]")
{
    StoreFixture f(0);
    const IncarnationId there = lifeIn(f, "d1");
    f.accept({StoreFixture::step(1)});
    CHECK(f.apply(EvacuateDomain{"d1", true}) == CommandOutcome::Applied);
    CHECK(f.apply(EvacuateDomain{"d1", true}) == CommandOutcome::Unchanged);
    CHECK(f.apply(PlaceRuns{f.at(0), 1, {{0, there}}}) == CommandOutcome::Rejected);
    CHECK(f.apply(EvacuateDomain{"d2", false}) == CommandOutcome::Unchanged);
    CHECK(f.apply(EvacuateDomain{"d1", false}) == CommandOutcome::Applied);
    CHECK(f.apply(PlaceRuns{f.at(0), 1, {{0, there}}}) == CommandOutcome::Applied);
}

TEST_CASE("a placement decided before its target began to drain is rejected", "[evacuation]")
{
    StoreFixture f;
    f.accept({StoreFixture::step(1)});
    f.apply(SetIncarnationDraining{f.incarnation(1), true});
    CHECK(f.place(0, 1, {1}) == CommandOutcome::Rejected);
}

TEST_CASE("an evacuation survives a restart from a snapshot", "[evacuation]")
{
    StoreFixture f(0);
    const IncarnationId there = lifeIn(f, "d1");
    f.apply(EvacuateDomain{"d1", true});
    WorkflowStore later;
    REQUIRE(later.restore(f.store.snapshot()));
    CHECK(later.evacuatedDomains() == std::set<std::string>{"d1"});
    CHECK_FALSE(later.takesWork(*later.find(there)));
}

TEST_CASE("a snapshot of an older version without evacuations can be read", "[evacuation]")
{
    StoreFixture f;
    f.accept({StoreFixture::step(1)});
    constexpr std::size_t markBytes = 11;
    constexpr std::size_t emptyTailBytes = 4; // no evacuated domains, losses or changed capacities
    const std::string snapshot = f.store.snapshot();
    const std::string older =
        snapshot.substr(markBytes, snapshot.size() - markBytes - emptyTailBytes);
    WorkflowStore read;
    REQUIRE(read.restore(older));
    CHECK(read.snapshot() == snapshot);
}

TEST_CASE_METHOD(EvacuationFixture, "work avoids an evacuated domain, and its runs may finish",
                 "[evacuation]")
{
    this->submit(job, {StoreFixture::step(12)});
    this->runFor(Milliseconds(50));
    const std::size_t before = this->placedIn("d1");
    REQUIRE(before > 0);
    this->evacuate("d1", true);
    this->runFor(Milliseconds(100));
    CHECK(this->placedIn("d1") == before); // no run is stopped
    this->submit(static_cast<WorkflowId>(2), {StoreFixture::step(8)});
    this->runFor(Milliseconds(15000));
    CHECK(this->isAllOver());
    CHECK(this->fleet.startsInEvacuated == 0);
    this->evacuate("d1", false);
    this->submit(static_cast<WorkflowId>(3), {StoreFixture::step(16)});
    this->runFor(Milliseconds(100));
    CHECK(this->placedIn("d1") > 0);
}

TEST_CASE_METHOD(EvacuationFixture, "the next controller starts nothing in an evacuated domain",
                 "[evacuation]")
{
    this->evacuate("d0", true);
    this->changeController(Milliseconds(800));
    this->submit(job, {StoreFixture::step(8)});
    this->runFor(Milliseconds(15000));
    CHECK(this->isAllOver());
    CHECK(this->fleet.startsInEvacuated == 0);
}

TEST_CASE_METHOD(EvacuationFixture, "an unanswered start is not sent again after an evacuation",
                 "[evacuation]")
{
    this->evacuate("d0", true);
    this->runFor(Milliseconds(100));
    this->fleet.cut("t1", false);
    this->fleet.cut("t3", false);
    this->submit(job, {StoreFixture::step(1)});
    this->runFor(Milliseconds(20));
    REQUIRE(this->placedIn("d1") == 1);
    this->evacuate("d1", true);
    this->runFor(Milliseconds(10));
    this->fleet.heal("t1");
    this->fleet.heal("t3");
    this->runFor(Milliseconds(3000));
    CHECK(this->fleet.starts == 0);
}

TEST_CASE_METHOD(EvacuationFixture,
                 "a queue counts as fully evacuated while all its domains are evacuated",
                 "[evacuation]")
{
    CHECK_FALSE(this->controller().isFullyEvacuated("q"));
    this->evacuate("d0", true);
    this->runFor(Milliseconds(100));
    CHECK_FALSE(this->controller().isFullyEvacuated("q"));
    this->evacuate("d1", true);
    this->runFor(Milliseconds(100));
    CHECK(this->controller().isFullyEvacuated("q"));
    CHECK_FALSE(this->controller().isFullyEvacuated("another"));
    this->evacuate("d1", false);
    this->runFor(Milliseconds(100));
    CHECK_FALSE(this->controller().isFullyEvacuated("q"));
}

TEST_CASE("the simulated fleet reports a start in an evacuated domain", "[evacuation]")
{
    VirtualLoop loop;
    SimulatedFleet fleet(loop, 1);
    const TargetIdentity target = fleet.add("t1", 4000, "d1");
    WorkflowSpec spec;
    spec.id = job;
    spec.steps = {StoreFixture::step(1)};
    fleet.announce(spec);
    fleet.evacuated("d1");
    loop.runFor(Milliseconds(6000));
    StartOrder order;
    order.task = {{job, 0, 0}, 0};
    order.run = 1;
    order.fence = 1;
    order.leaseUntilMs = 60000;
    fleet.start(target, order, loop.now() + Milliseconds(700), [](const Result<OrderAnswer> &) {});
    loop.runFor(Milliseconds(100));
    CHECK(fleet.violation.find("is evacuated") != std::string::npos);
}

TEST_CASE("a cold target is used only if the others have no room", "[evacuation]")
{
    PlanFixture f(2);
    f.cold.insert(f.incarnation(1));
    f.accept({StoreFixture::step(5)});
    const Plan plan = f.plan();
    std::map<IncarnationId, int> placed;
    for (const Placement &placement : plan.placements.front().placements)
        ++placed[placement.incarnation];
    CHECK(placed[f.incarnation(2)] == 4);
    CHECK(placed[f.incarnation(1)] == 1);
}

TEST_CASE("no run is started too late in an evacuated domain under random faults",
          "[random][evacuation]")
{
    runSeeds(defaultSeeds, runSeed);
}
