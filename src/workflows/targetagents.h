#pragma once

#include "workflows/agentpool.h"
#include "workflows/carriedorder.h"
#include "workflows/targetport.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace guavavalve {
class Messenger;
}

namespace guavavalve::workflows {

struct TargetAgentsOptions
{
    InstanceId self; ///< also the address of its messenger, as with every instance
    std::size_t targetsPerAgent = 1000; ///< for which one instance has connections
    /// Other instances that may carry orders now.
    std::function<std::vector<InstanceId>()> agents;
    std::function<void(std::function<void()>)>
        post; ///< onto the controller's loop, from any thread
    Clock clock = monotonicNow;
};

/// Carries the controller's orders to targets over its own port or, in fleets that one process has
/// no connections for, over the ports of other instances. Decisions, leases and fences stay with
/// the controller. Runs on the controller's loop.
class TargetAgents : public TargetPort
{
public:
    TargetAgents(TargetAgentsOptions options, TargetPort &own, Messenger &messenger);

    void start(const TargetIdentity &target, const StartOrder &order, Instant deadline,
               Done<OrderAnswer> done) override;
    void stop(const TargetIdentity &target, const StopOrder &order, Instant deadline,
              Done<OrderAnswer> done) override;
    void hold(const TargetIdentity &target, const HoldOrder &order, Instant deadline,
              Done<HoldAnswer> done) override;

    /// Targets whose orders other instances carry.
    std::size_t sharedTargets() const { return this->pool.sharedTargets(); }

private:
    const InstanceId &agentFor(const TargetIdentity &target);
    bool isOwn(const InstanceId &agent) const { return agent == this->options.self; }
    template<typename Order, typename Answer>
    void carry(const InstanceId &agent, const TargetIdentity &target, const Order &order,
               Instant deadline, Done<Answer> done);
    template<typename Answer>
    void carried(const InstanceId &agent, const Result<std::string> &reply,
                 const Done<Answer> &done);

    TargetAgentsOptions options;
    TargetPort &own;
    Messenger &messenger;
    AgentPool pool;
    Instant nextLook{}; ///< at which agents there are
};

} // namespace guavavalve::workflows
