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

/// Decides which instance carries the orders for which target: the controller's own as long as it
/// has connections for all of them, and beyond that others too, so that the number of targets is
/// not bounded by the descriptors of one process. Pure; not thread-safe.
///
/// Carrying is stateless: an order says all that its target needs, so a target may change its agent
/// between any two orders.
class AgentPool
{
public:
    /// \a self: the controller's instance. \a targetsPerAgent: for how many targets one instance,
    /// the controller's own included, has connections.
    AgentPool(InstanceId self, std::size_t targetsPerAgent);

    /// The instances that may carry orders now, without the controller's own.
    void present(const std::vector<InstanceId> &agents, Instant now);
    /// Who carries the next order for \a target: the same instance as before as long as it is
    /// there, not doubted, and not over its number.
    const InstanceId &choose(const std::string &target, Instant now);
    /// \a agent has said what came of an order.
    void answered(const InstanceId &agent, Instant now);
    /// An order was given to \a agent and nothing came back. Unless it has answered others lately,
    /// it carries nothing for a while; so it is at once if \a isUnreachable. True if it was not
    /// doubted before and is now.
    bool unanswered(const InstanceId &agent, bool isUnreachable, Instant now);

    std::size_t targetsOf(const InstanceId &agent) const;
    /// Targets whose orders others carry.
    std::size_t sharedTargets() const;

private:
    struct Assignment
    {
        InstanceId agent;
        Instant usedAt{};
    };

    bool isGood(const InstanceId &agent, Instant now) const;
    bool hasRoom(const InstanceId &agent) const;
    const InstanceId &leastLoaded(Instant now) const;
    void dropUnused(Instant now);

    InstanceId self;
    std::size_t targetsPerAgent;
    std::set<InstanceId> agents;
    std::map<InstanceId, Instant> doubtedUntil;
    std::map<InstanceId, Instant> answeredAt;
    std::unordered_map<std::string, Assignment> assignments; ///< by the target's name
    std::map<InstanceId, std::size_t> counts; ///< assignments
    Instant nextDrop{};
};

} // namespace guavavalve::workflows
