#include <catch2/catch.hpp>

#include "workflows/bookfixture.h"
#include "workflows/planfixture.h"
#include "workflows/randomrounds.h"

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

    /// Tasks of the job that are placed in \a domain.
    std::size_t placedIn(const std::string &domain)
    {
        return this->machine.read([&](const Book &book) {
            std::size_t placed = 0;
            for (const auto &[life, record] : book.lives()) {
                if (record.identity.failureDomain == domain)
                    placed += record.placed.size();
            }
            return placed;
        });
    }
};

/// A life in a failure domain of its own, beside the fixture's.
LifeNumber lifeIn(BookFixture &f, const std::string &domain)
{
    TargetIdentity identity;
    identity.name = "t-" + domain;
    identity.bornAtMs = 1;
    identity.service = "s";
    identity.failureDomain = domain;
    identity.capacity[ResourceKind::MilliCores] = 4000;
    f.apply(BeginLife{identity});
    return f.book.newestLife(identity.name);
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
    case 2: // in the middle of a change of controller
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

void play(std::uint64_t seed)
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

TEST_CASE("an evacuated failure domain takes no placement until it is opened", "[evacuation]")
{
    BookFixture f(0);
    const LifeNumber there = lifeIn(f, "d1");
    f.accept({BookFixture::step(1)});
    CHECK(f.apply(EvacuateDomain{"d1", true}) == CommandOutcome::Applied);
    CHECK(f.apply(EvacuateDomain{"d1", true}) == CommandOutcome::Unchanged);
    CHECK(f.apply(PlaceRuns{f.at(0), 1, {{0, there}}}) == CommandOutcome::Rejected);
    CHECK(f.apply(EvacuateDomain{"d2", false}) == CommandOutcome::Unchanged);
    CHECK(f.apply(EvacuateDomain{"d1", false}) == CommandOutcome::Applied);
    CHECK(f.apply(PlaceRuns{f.at(0), 1, {{0, there}}}) == CommandOutcome::Applied);
}

TEST_CASE("a draining target takes no placement that was decided before", "[evacuation]")
{
    BookFixture f;
    f.accept({BookFixture::step(1)});
    f.apply(DrainLife{f.life(1), true});
    CHECK(f.place(0, 1, {1}) == CommandOutcome::Rejected);
}

TEST_CASE("an evacuation outlives a restart from a snapshot", "[evacuation]")
{
    BookFixture f(0);
    const LifeNumber there = lifeIn(f, "d1");
    f.apply(EvacuateDomain{"d1", true});
    Book later;
    REQUIRE(later.restore(f.book.snapshot()));
    CHECK(later.evacuatedDomains() == std::set<std::string>{"d1"});
    CHECK_FALSE(later.takesWork(*later.find(there)));
}

TEST_CASE("a snapshot without evacuations, as older programs wrote it, is read", "[evacuation]")
{
    BookFixture f;
    f.accept({BookFixture::step(1)});
    constexpr std::size_t markBytes = 11;
    constexpr std::size_t emptyTailBytes = 4; // no evacuated domains, losses, changed rooms
    const std::string snapshot = f.book.snapshot();
    const std::string older =
        snapshot.substr(markBytes, snapshot.size() - markBytes - emptyTailBytes);
    Book read;
    REQUIRE(read.restore(older));
    CHECK(read.snapshot() == snapshot);
}

TEST_CASE_METHOD(EvacuationFixture, "work goes round an evacuated domain, and runs there end",
                 "[evacuation]")
{
    this->submit(job, {BookFixture::step(12)});
    this->runFor(Milliseconds(50));
    const std::size_t before = this->placedIn("d1");
    REQUIRE(before > 0);
    this->evacuate("d1", true);
    this->runFor(Milliseconds(100));
    CHECK(this->placedIn("d1") == before); // nothing is stopped
    this->submit(static_cast<WorkflowId>(2), {BookFixture::step(8)});
    this->runFor(Milliseconds(15000));
    CHECK(this->isAllOver());
    CHECK(this->fleet.startsInEvacuated == 0);
    this->evacuate("d1", false);
    this->submit(static_cast<WorkflowId>(3), {BookFixture::step(16)});
    this->runFor(Milliseconds(100));
    CHECK(this->placedIn("d1") > 0);
}

TEST_CASE_METHOD(EvacuationFixture, "the next controller starts nothing in an evacuated domain",
                 "[evacuation]")
{
    this->evacuate("d0", true);
    this->changeController(Milliseconds(800));
    this->submit(job, {BookFixture::step(8)});
    this->runFor(Milliseconds(15000));
    CHECK(this->isAllOver());
    CHECK(this->fleet.startsInEvacuated == 0);
}

TEST_CASE_METHOD(EvacuationFixture, "a start without an answer is not sent again after evacuation",
                 "[evacuation]")
{
    this->evacuate("d0", true);
    this->runFor(Milliseconds(100));
    this->fleet.cut("t1", false);
    this->fleet.cut("t3", false);
    this->submit(job, {BookFixture::step(1)});
    this->runFor(Milliseconds(20));
    REQUIRE(this->placedIn("d1") == 1);
    this->evacuate("d1", true);
    this->runFor(Milliseconds(10));
    this->fleet.heal("t1");
    this->fleet.heal("t3");
    this->runFor(Milliseconds(3000));
    CHECK(this->fleet.starts == 0);
}

TEST_CASE_METHOD(EvacuationFixture, "a queue is shut out while all its domains are evacuated",
                 "[evacuation]")
{
    CHECK_FALSE(this->controller().isShutOut("q"));
    this->evacuate("d0", true);
    this->runFor(Milliseconds(100));
    CHECK_FALSE(this->controller().isShutOut("q"));
    this->evacuate("d1", true);
    this->runFor(Milliseconds(100));
    CHECK(this->controller().isShutOut("q"));
    CHECK_FALSE(this->controller().isShutOut("another"));
    this->evacuate("d1", false);
    this->runFor(Milliseconds(100));
    CHECK_FALSE(this->controller().isShutOut("q"));
}

TEST_CASE("the checker sees a start in an evacuated domain", "[evacuation]")
{
    VirtualLoop loop;
    SimulatedFleet fleet(loop, 1);
    const TargetIdentity target = fleet.add("t1", 4000, "d1");
    WorkflowSpec spec;
    spec.id = job;
    spec.steps = {BookFixture::step(1)};
    fleet.announce(spec);
    fleet.evacuated("d1");
    loop.runFor(Milliseconds(6000));
    StartOrder order;
    order.task = {{job, 0, 0}, 0};
    order.run = 1;
    order.term = 1;
    order.leaseUntilMs = 60000;
    fleet.start(target, order, loop.now() + Milliseconds(700), [](const Result<OrderAnswer> &) {});
    loop.runFor(Milliseconds(100));
    CHECK(fleet.violation.find("is evacuated") != std::string::npos);
}

TEST_CASE("a cold target is used when the others have no room", "[evacuation]")
{
    PlanFixture f(2);
    f.cold.insert(f.life(1));
    f.accept({BookFixture::step(5)});
    const Plan plan = f.plan();
    std::map<LifeNumber, int> placed;
    for (const Placement &placement : plan.placements.front().placements)
        ++placed[placement.life];
    CHECK(placed[f.life(2)] == 4);
    CHECK(placed[f.life(1)] == 1);
}

TEST_CASE("evacuations in series, cut targets and changes of controller start nothing too late",
          "[random][evacuation]")
{
    runSeeds(defaultSeeds, play);
}
