#include <catch2/catch.hpp>

#include "workflows/agents/agentpool.h"
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

/// Number of targets that each agent carries orders for, of targets t1 to tN.
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
    case 4: // the controller and an agent at the same time
        agents.freeze(agent);
        simulation.changeController(Milliseconds(800));
        break;
    default:
        simulation.changeController(Milliseconds(800));
    }
}

void runWithAgents(std::uint64_t seed)
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

TEST_CASE("the controller carries all orders of a fleet that its connections suffice for",
          "[agents]")
{
    AgentPool pool("own", 100);
    pool.setAgents({"a", "b"}, start);
    CHECK(chooseAll(pool, 100, start) == std::map<InstanceId, int>{{"own", 100}});
    CHECK(pool.sharedTargets() == 0);
}

TEST_CASE("targets beyond the controller's connections are spread evenly and keep their agents",
          "[agents]")
{
    AgentPool pool("own", 100);
    pool.setAgents({"a", "b"}, start);
    const auto first = chooseAll(pool, 240, start);
    CHECK(first == std::map<InstanceId, int>{{"own", 100}, {"a", 70}, {"b", 70}});
    const InstanceId before = pool.choose(targetName(200), start);
    CHECK(pool.choose(targetName(200), start + Milliseconds(500)) == before);
    CHECK(pool.sharedTargets() == 140);
}

TEST_CASE("an unresponsive or missing agent carries nothing until it is available again",
          "[agents]")
{
    AgentPool pool("own", 100);
    pool.setAgents({"a", "b"}, start);
    chooseAll(pool, 150, start);
    CHECK(pool.recordFailure("a", true, start));
    CHECK_FALSE(pool.recordFailure("a", true, start));
    CHECK(chooseAll(pool, 150, start) == std::map<InstanceId, int>{{"own", 100}, {"b", 50}});
    pool.setAgents({"a"}, start + Milliseconds(5000));
    CHECK(chooseAll(pool, 150, start + Milliseconds(5000))
          == std::map<InstanceId, int>{{"own", 100}, {"a", 50}});
}

TEST_CASE("an agent that answered recently is not given up for one unanswered order", "[agents]")
{
    AgentPool pool("own", 100);
    pool.setAgents({"a"}, start);
    pool.answered("a", start);
    CHECK_FALSE(pool.recordFailure("a", false, start + Milliseconds(100)));
    CHECK(pool.recordFailure("a", false, start + Milliseconds(600)));
    pool.answered("a", start + Milliseconds(3000));
    CHECK(pool.recordFailure("a", true, start + Milliseconds(3000)));
}

TEST_CASE("without agents the controller carries all orders, and hands over the excess once there "
          "are some",
          "[agents]")
{
    AgentPool pool("own", 100);
    pool.setAgents({}, start);
    CHECK(chooseAll(pool, 150, start) == std::map<InstanceId, int>{{"own", 150}});
    pool.setAgents({"a"}, start);
    CHECK(chooseAll(pool, 150, start) == std::map<InstanceId, int>{{"own", 100}, {"a", 50}});
}

TEST_CASE("targets without orders are dropped from the counts", "[agents]")
{
    AgentPool pool("own", 100);
    pool.setAgents({"a"}, start);
    chooseAll(pool, 150, start);
    pool.setAgents({"a"}, start + Milliseconds(30000));
    CHECK(pool.targetsOf("own") == 0);
    CHECK(pool.sharedTargets() == 0);
}

namespace {

/// One target, whose orders another instance carries.
struct CarriedFixture
{
    CarriedFixture()
    {
        spdlog::set_level(spdlog::level::off);
        WorkflowSpec spec;
        spec.id = StoreFixture::job;
        spec.steps = {StoreFixture::step(1)};
        this->fleet.announce(spec);
    }

    Result<OrderAnswer> start(std::uint64_t fence)
    {
        StartOrder order;
        order.task = this->task;
        order.run = 1;
        order.fence = fence;
        order.leaseUntilMs = 6000;
        order.sendBy = this->loop.now() + Milliseconds(250);
        Result<OrderAnswer> started = failure(ErrorCode::Internal, "not answered");
        this->port->start(this->target, order, this->loop.now() + Milliseconds(700),
                          [&](const Result<OrderAnswer> &answer) { started = answer; });
        this->loop.runFor(Milliseconds(50));
        return started;
    }

    Result<HoldAnswer> poll(std::uint64_t fence)
    {
        Result<HoldAnswer> listed = failure(ErrorCode::Internal, "not answered");
        this->port->hold(this->target, {6000, 0, 0, fence}, this->loop.now() + Milliseconds(700),
                         [&](const Result<HoldAnswer> &answer) { listed = answer; });
        this->loop.runFor(Milliseconds(50));
        return listed;
    }

    TaskAddress task{{StoreFixture::job, 0, 0}, 0};
    VirtualLoop loop;
    SimulatedFleet fleet{this->loop, 1};
    SimulatedAgents agents{this->loop, this->fleet, 1};
    const decltype(agents.portOf(0)) port = this->agents.portOf(0);
    const TargetIdentity target = this->fleet.add("t1", 4000);
};

} // namespace

TEST_CASE_METHOD(CarriedFixture,
                 "an order is carried unchanged, and the target's answer is returned", "[agents]")
{
    const auto started = this->start(1);
    REQUIRE(started);
    CHECK(started.value().reply == OrderReply::Done);
    const auto listed = this->poll(1);
    REQUIRE(listed);
    REQUIRE(listed.value().running.size() == 1);
    CHECK(listed.value().running.front().task == this->task);
    CHECK(this->agents.carried == 2);
}

// Guards against an agent that delivers a start late, when the target has been polled since.
TEST_CASE_METHOD(CarriedFixture, "an order that an agent carries keeps its fencing token",
                 "[agents]")
{
    REQUIRE(this->poll(5));
    const auto started = this->start(4);
    REQUIRE(started);
    CHECK(started.value().reply == OrderReply::Fenced);
    CHECK(this->agents.carried == 2);
}

TEST_CASE("a start that no agent received is reported as not sent", "[agents]")
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
    CHECK(started.error().code == ErrorCode::LimitExceeded); // it says nothing about the target
}

TEST_CASE("no task has two runs at once while agents are frozen, killed and resumed",
          "[random][agents]")
{
    runSeeds(defaultSeeds, runWithAgents);
}
