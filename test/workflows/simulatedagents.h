#pragma once

#include "replicas/messenger.h"
#include "workflows/agents/targetagents.h"
#include "workflows/agents/targetagentservice.h"
#include "workflows/virtualloop.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// Instances that carry a controller's orders to targets, on a virtual clock. They can be killed,
/// or frozen with pending orders that they carry when they resume.
class SimulatedAgents
{
public:
    SimulatedAgents(VirtualLoop &loop, TargetPort &fleet, unsigned agents);
    ~SimulatedAgents();

    /// A controller's port, whose own connections reach \a targetsPerAgent targets.
    std::unique_ptr<TargetAgents> portOf(std::size_t targetsPerAgent);

    void kill(unsigned agent);
    void freeze(unsigned agent);
    /// Restarts a killed agent, or resumes a frozen one, which then carries its pending orders.
    void wake(unsigned agent);

    std::size_t carried = 0; ///< number of orders that agents have accepted

private:
    class AgentMessenger;
    struct Agent
    {
        std::unique_ptr<AgentMessenger> messenger;
        std::unique_ptr<TargetAgentService> service;
        bool isUp = true;
        bool isFrozen = false;
        std::vector<std::function<void()>> waiting;
    };

    void deliver(const std::string &address, const std::string &payload, Instant deadline,
                 const Done<std::string> &done);
    std::vector<InstanceId> present() const;

    VirtualLoop &loop;
    TargetPort &fleet;
    std::unique_ptr<AgentMessenger> own;
    std::map<std::string, Agent> agents;
};

} // namespace guavavalve::workflows
