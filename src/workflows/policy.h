#pragma once

#include "core/resourcelimit.h"
#include "core/resources.h"

#include <cstdint>
#include <map>
#include <string>

namespace guavavalve::workflows {

/// What operators set for one queue.
struct QueuePolicy
{
    std::string service; ///< whose targets run its tasks
    std::uint32_t priority = 0; ///< 0 comes first
    std::uint16_t maxFailures = 1; ///< of a task or gang, after which its workflow has failed
    double stretch = 1.0; ///< the objective, in lengths of the longest chain of work
    std::int64_t slackMs = 0; ///< added to the objective
    bool needsAdmission = false; ///< another service says which targets may run a step
    std::int64_t admissionValidMs = 0; ///< how long an admission may be used
    double queryBaseMs = 0.0; ///< what a question costs, whatever it names
    double queryMsPerTarget = 0.0; ///< and for each target named
};

/// What operators set for one client account.
struct AccountPolicy
{
    double weight = 1.0; ///< its share when everything is full
    Resources limit = unlimitedResources(); ///< the most that it may have placed
};

/// Everything that operators set about workflows.
struct Policy
{
    std::map<std::string, QueuePolicy> queues;
    std::map<std::string, AccountPolicy> accounts;

    const QueuePolicy *queue(const std::string &name) const
    {
        const auto found = this->queues.find(name);
        return found == this->queues.end() ? nullptr : &found->second;
    }
};

} // namespace guavavalve::workflows
