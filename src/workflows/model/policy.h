#pragma once

#include "core/resourcelimit.h"
#include "core/resources.h"

#include <cereal/types/string.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace guavavalve::workflows {

/// An operator's settings for one queue.
struct QueuePolicy
{
    std::string label; ///< its name for operators, which may change; empty: as the queue
    std::string service; ///< whose targets run its tasks
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint16_t maxFailures = 1; ///< of a task or gang, at which its workflow fails
    double stretch = 1.0; ///< the objective, as a multiple of the critical path
    std::int64_t slackMs = 0; ///< added to the objective
    bool needsAdmission = false; ///< the admission service decides which targets may run a step
    std::int64_t admissionValidMs = 0; ///< how long an admission is valid
    double queryBaseMs = 0.0; ///< processing time of a query, without its targets
    double queryMsPerTarget = 0.0; ///< additional processing time for each target

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->label, this->service, this->priority, this->maxFailures, this->stretch,
                this->slackMs, this->needsAdmission, this->admissionValidMs, this->queryBaseMs,
                this->queryMsPerTarget);
    }
};

/// An operator's settings for one client account.
struct AccountPolicy
{
    double weight = 1.0; ///< its share under contention
    Resources limit = unlimitedResources(); ///< limit of what it may have placed
};

/// All operator settings for workflows.
struct Policy
{
    std::map<std::string, QueuePolicy> queues;
    /// Queues that the document no longer has, with their last settings: what was accepted for them
    /// is still to be done.
    std::map<std::string, QueuePolicy> removedQueues;
    /// Queues by the labels under which earlier versions stored their workflows.
    std::map<std::string, std::string> queuesByLabel;
    std::map<std::string, AccountPolicy> accounts;

    /// The settings for the work of a queue, which may have been removed since; null: unknown.
    const QueuePolicy *queue(const std::string &name) const
    {
        if (const auto found = this->queues.find(name); found != this->queues.end())
            return &found->second;
        if (const auto labelled = this->queuesByLabel.find(name);
            labelled != this->queuesByLabel.end())
            return this->queue(labelled->second);
        const auto removed = this->removedQueues.find(name);
        return removed == this->removedQueues.end() ? nullptr : &removed->second;
    }

    /// The queue's name for operators.
    std::string labelOf(const std::string &name) const
    {
        const QueuePolicy *known = this->queue(name);
        return known == nullptr || known->label.empty() ? name : known->label;
    }

    /// The lowest priority value of all queues; 0 without any queue.
    std::uint32_t mostUrgentPriority() const
    {
        const auto first = std::min_element(
            this->queues.begin(), this->queues.end(),
            [](const auto &a, const auto &b) { return a.second.priority < b.second.priority; });
        return first == this->queues.end() ? 0 : first->second.priority;
    }
};

} // namespace guavavalve::workflows
