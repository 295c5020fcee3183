#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavavalve::workflows {

/// Assigns each target to the instance that carries its orders: the controller's own instance as
/// long as it has connections for all targets, and other instances for those beyond that, so that
/// the number of targets is not bounded by the file descriptors of one process. Pure; not
/// thread-safe.
///
/// Agents are stateless: an order contains everything that its target needs, so a target may change
/// its agent between any two orders.
class AgentPool
{
public:
    /// \a self: the controller's instance. \a targetsPerAgent: the number of targets that one
    /// instance, including the controller's own, has connections for.
    AgentPool(InstanceId self, std::size_t targetsPerAgent);

    /// Sets the instances that may carry orders, apart from the controller's own.
    void setAgents(const std::vector<InstanceId> &agents, Instant now);
    /// The instance that carries the next order for \a target. It stays the same as long as it is
    /// available, responsive and within its limit.
    const InstanceId &choose(const std::string &target, Instant now);
    /// \a agent has returned the outcome of an order.
    void answered(const InstanceId &agent, Instant now);
    /// An order sent to \a agent got no reply. If \a isUnreachable, or if the agent has not
    /// answered any order recently, it carries nothing for a while. Returns true if it counted as
    /// responsive before and no longer does.
    bool recordFailure(const InstanceId &agent, bool isUnreachable, Instant now);

    std::size_t targetsOf(const InstanceId &agent) const;
    /// Number of targets whose orders other instances carry.
    std::size_t sharedTargets() const;

private:
    struct Assignment
    {
        InstanceId agent;
        Instant usedAt{};
    };

    bool isAvailable(const InstanceId &agent, Instant now) const;
    bool hasRoom(const InstanceId &agent) const;
    const InstanceId &leastLoaded(Instant now) const;
    void dropUnused(Instant now);

    InstanceId self;
    std::size_t targetsPerAgent;
    std::set<InstanceId> agents;
    std::map<InstanceId, Instant> unresponsiveUntil;
    std::map<InstanceId, Instant> answeredAt;
    std::unordered_map<std::string, Assignment> assignments; ///< by target name
    std::map<InstanceId, std::size_t> counts; ///< number of assigned targets
    Instant nextDrop{};
};

} // namespace guavavalve::workflows
