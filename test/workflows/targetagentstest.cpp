#include <catch2/catch.hpp>

#include "workflows/agentpool.h"
#include "workflows/randomrounds.h"
#include "workflows/simulatedagents.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

#include <map>
#include <random>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr std::uint64_t defaultSeeds = 100;
constexpr unsigned agentCount = 2;
const Instant start{std::chrono::seconds(100)};

std::string targetName(int number)
{
    return "t" + std::to_string(number);
}

/// Who carries the orders of targets t1 to tN.
std::map<InstanceId, int> chooseAll(AgentPool &pool, int targets, Instant now)
{
    std::map<InstanceId, int> byAgent;
    for (int i = 1; i <= targets; ++i)
        ++byAgent[pool.choose(targetName(i), now)];
    return byAgent;
}

void disturb(Simulation &simulation, SimulatedAgents &agents, std::mt19937_64 &random)
{
    const auto agent = std::uniform_int_distribution<unsigned>(1, agentCount)(random);
    switch (std::uniform_int_distribution<>(0, 5)(random)) {
    case 0:
        agents.kill(agent);
        break;
    case 1:
        agents.freeze(agent);
        break;
    case 2:
    case 3:
        agents.wake(agent);
        break;
    case 4: // the controller and an agent together
        agents.freeze(agent);
        simulation.changeController(Milliseconds(800));
        break;
    default:
        simulation.changeController(Milliseconds(800));
    }
}

void play(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    Simulation simulation(seed);
    SimulatedAgents agents(simulation.loop, simulation.fleet, agentCount);
    std::vector<std::unique_ptr<TargetAgents>> ports;
    simulation.portOfController = [&]() -> TargetPort & {
        ports.push_back(agents.portOf(1));
        return *ports.back();
    };
    simulation.changeController(Milliseconds(0));
    simulation.fleet.faults = {0.03, 0.05, 0.04, 0.05};
    RandomRounds rounds;
    rounds.maxSteps = 2;
    rounds.roundsPerDisturbance = 3;
    rounds.disturb = [&] { disturb(simulation, agents, random); };
    const std::uint64_t handedIn = runRounds(simulation, random, rounds);
    simulation.fleet.faults = {};
    for (unsigned agent = 1; agent <= agentCount; ++agent)
        agents.wake(agent);
    checkOutcome(simulation, seed);
    CHECK(agents.carried > handedIn);
}

} // namespace

TEST_CASE("a fleet that one instance has connections for stays with the controller", "[agents]")
{
    AgentPool pool("own", 100);
    pool.present({"a", "b"}, start);
    CHECK(chooseAll(pool, 100, start) == std::map<InstanceId, int>{{"own", 100}});
    CHECK(pool.sharedTargets() == 0);
}

TEST_CASE("targets beyond the controller's connections are shared evenly and stay", "[agents]")
{
    AgentPool pool("own", 100);
    pool.present({"a", "b"}, start);
    const auto first = chooseAll(pool, 240, start);
    CHECK(first == std::map<InstanceId, int>{{"own", 100}, {"a", 70}, {"b", 70}});
    const InstanceId before = pool.choose(targetName(200), start);
    CHECK(pool.choose(targetName(200), start + Milliseconds(500)) == before);
    CHECK(pool.sharedTargets() == 140);
}

TEST_CASE("a doubted or missing agent carries nothing until it is good again", "[agents]")
{
    AgentPool pool("own", 100);
    pool.present({"a", "b"}, start);
    chooseAll(pool, 150, start);
    CHECK(pool.unanswered("a", true, start));
    CHECK_FALSE(pool.unanswered("a", true, start));
    CHECK(chooseAll(pool, 150, start) == std::map<InstanceId, int>{{"own", 100}, {"b", 50}});
    pool.present({"a"}, start + Milliseconds(5000));
    CHECK(chooseAll(pool, 150, start + Milliseconds(5000))
          == std::map<InstanceId, int>{{"own", 100}, {"a", 50}});
}

TEST_CASE("an agent is not given up for one order that came to nothing", "[agents]")
{
    AgentPool pool("own", 100);
    pool.present({"a"}, start);
    pool.answered("a", start);
    CHECK_FALSE(pool.unanswered("a", false, start + Milliseconds(100)));
    CHECK(pool.unanswered("a", false, start + Milliseconds(600)));
    pool.answered("a", start + Milliseconds(3000));
    CHECK(pool.unanswered("a", true, start + Milliseconds(3000)));
}

TEST_CASE("without agents the controller carries all, and hands over what is too much", "[agents]")
{
    AgentPool pool("own", 100);
    pool.present({}, start);
    CHECK(chooseAll(pool, 150, start) == std::map<InstanceId, int>{{"own", 150}});
    pool.present({"a"}, start);
    CHECK(chooseAll(pool, 150, start) == std::map<InstanceId, int>{{"own", 100}, {"a", 50}});
}

TEST_CASE("targets without orders are not counted for ever", "[agents]")
{
    AgentPool pool("own", 100);
    pool.present({"a"}, start);
    chooseAll(pool, 150, start);
    pool.present({"a"}, start + Milliseconds(30000));
    CHECK(pool.targetsOf("own") == 0);
    CHECK(pool.sharedTargets() == 0);
}

TEST_CASE("an order is carried whole, and the target's answer comes back", "[agents]")
{
    spdlog::set_level(spdlog::level::off);
    VirtualLoop loop;
    SimulatedFleet fleet(loop, 1);
    SimulatedAgents agents(loop, fleet, 1);
    const auto port = agents.portOf(0);
    const TargetIdentity target = fleet.add("t1", 4000);
    WorkflowSpec spec;
    spec.id = StoreFixture::job;
    spec.steps = {StoreFixture::step(1)};
    fleet.announce(spec);
    StartOrder order;
    order.task = {{StoreFixture::job, 0, 0}, 0};
    order.run = 1;
    order.term = 1;
    order.leaseUntilMs = 6000;
    order.leaveBy = loop.now() + Milliseconds(250);
    Result<OrderAnswer> started = failure(ErrorCode::Internal, "not answered");
    port->start(target, order, loop.now() + Milliseconds(700),
                [&](const Result<OrderAnswer> &answer) { started = answer; });
    loop.runFor(Milliseconds(50));
    REQUIRE(started);
    CHECK(started.value().reply == OrderReply::Done);
    Result<HoldAnswer> listed = failure(ErrorCode::Internal, "not answered");
    port->hold(target, {6000, 0, 0, 1}, loop.now() + Milliseconds(700),
               [&](const Result<HoldAnswer> &answer) { listed = answer; });
    loop.runFor(Milliseconds(50));
    REQUIRE(listed);
    REQUIRE(listed.value().running.size() == 1);
    CHECK(listed.value().running.front().task == order.task);
    CHECK(agents.carried == 2);
}

TEST_CASE("a start that no agent took is known not to have left", "[agents]")
{
    spdlog::set_level(spdlog::level::off);
    VirtualLoop loop;
    SimulatedFleet fleet(loop, 1);
    SimulatedAgents agents(loop, fleet, 1);
    const auto port = agents.portOf(0);
    const TargetIdentity target = fleet.add("t1", 4000);
    port->stop(target, {}, loop.now() + Milliseconds(700), [](const Result<OrderAnswer> &) {});
    agents.kill(1);
    Result<OrderAnswer> started = failure(ErrorCode::Internal, "not answered");
    port->start(target, {}, loop.now() + Milliseconds(700),
                [&](const Result<OrderAnswer> &answer) { started = answer; });
    loop.runFor(Milliseconds(50));
    REQUIRE_FALSE(started);
    CHECK(started.error().ran == Ran::No);
    CHECK(started.error().code == ErrorCode::LimitExceeded); // it tells nothing of the target
}

TEST_CASE(
    "agents that freeze with orders in hand, are killed and wake run each task once at a time",
    "[random][agents]")
{
    runSeeds(defaultSeeds, play);
}
