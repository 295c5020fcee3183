#pragma once

#include "workflows/agents/agentpool.h"
#include "workflows/agents/carriedorder.h"
#include "workflows/sessions/targetport.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace guavavalve {
class Messenger;
}

namespace guavavalve::workflows {

struct TargetAgentsOptions
{
    InstanceId self; ///< also its messenger address, as for every instance
    std::size_t targetsPerAgent = 1000; ///< number of targets that one instance has connections for
    /// Returns the other instances that may currently carry orders.
    std::function<std::vector<InstanceId>()> agents;
    /// Runs an action on the controller's loop; may be called from any thread.
    std::function<void(std::function<void()>)> post;
    Clock clock = monotonicNow;
};

/// Sends the controller's orders to targets through its own port or, in fleets that are too large
/// for the connections of one process, through the ports of other instances. Decisions, leases and
/// fencing stay with the controller. Runs on the controller's loop.
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

    /// Number of targets whose orders other instances carry.
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
    Instant nextAgentRefresh{}; ///< when the list of agents is refreshed next
};

} // namespace guavavalve::workflows
