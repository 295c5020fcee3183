#include "workflows/agents/agentpool.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavavalve::workflows {

namespace {

/// How long an unresponsive agent carries nothing: long enough for an instance that was stopped,
/// frozen or cut off to disappear from the list of available instances.
constexpr Milliseconds unresponsivePeriod{2000};
/// An agent that answered within this time counts as responsive: one that carries orders for many
/// targets answers many times a second.
constexpr Milliseconds responsivePeriod{500};
/// An assignment is dropped after this long without orders: every target in use is polled once a
/// second.
constexpr Milliseconds assignmentTimeout{10000};

} // namespace

AgentPool::AgentPool(InstanceId self, std::size_t targetsPerAgent)
    : self(std::move(self))
    , targetsPerAgent(targetsPerAgent)
{}

void AgentPool::setAgents(const std::vector<InstanceId> &now, Instant at)
{
    this->agents = {now.begin(), now.end()};
    this->agents.erase(this->self);
    if (at >= this->nextDrop)
        this->dropUnused(at);
}

const InstanceId &AgentPool::choose(const std::string &target, Instant now)
{
    const auto [found, isNew] = this->assignments.try_emplace(target);
    Assignment &assignment = found->second;
    assignment.usedAt = now;
    if (!isNew) {
        const bool isOverfull = this->targetsOf(assignment.agent) > this->targetsPerAgent;
        if (this->isAvailable(assignment.agent, now)
            && (!isOverfull || !this->hasRoom(this->leastLoaded(now))))
            return assignment.agent;
        --this->counts[assignment.agent];
    }
    assignment.agent = this->hasRoom(this->self) ? this->self : this->leastLoaded(now);
    ++this->counts[assignment.agent];
    return assignment.agent;
}

void AgentPool::answered(const InstanceId &agent, Instant now)
{
    this->answeredAt[agent] = now;
}

/// Guards against giving up an agent because of a single late order: all its targets would open new
/// connections elsewhere.
bool AgentPool::recordFailure(const InstanceId &agent, bool isUnreachable, Instant now)
{
    const auto answer = this->answeredAt.find(agent);
    const bool isAlive =
        answer != this->answeredAt.end() && now < answer->second + responsivePeriod;
    if (agent == this->self || (isAlive && !isUnreachable))
        return false;
    Instant &until = this->unresponsiveUntil[agent];
    const bool wasGood = until <= now;
    until = now + unresponsivePeriod;
    return wasGood;
}

std::size_t AgentPool::targetsOf(const InstanceId &agent) const
{
    const auto found = this->counts.find(agent);
    return found == this->counts.end() ? 0 : found->second;
}

std::size_t AgentPool::sharedTargets() const
{
    return this->assignments.size() - this->targetsOf(this->self);
}

bool AgentPool::isAvailable(const InstanceId &agent, Instant now) const
{
    if (agent == this->self)
        return true;
    const auto unresponsive = this->unresponsiveUntil.find(agent);
    return this->agents.count(agent) != 0
        && (unresponsive == this->unresponsiveUntil.end() || unresponsive->second <= now);
}

bool AgentPool::hasRoom(const InstanceId &agent) const
{
    return this->targetsOf(agent) < this->targetsPerAgent;
}

/// The least loaded of the other instances, or the controller's own if none of them is responsive
/// or all of them have more targets than it.
const InstanceId &AgentPool::leastLoaded(Instant now) const
{
    const InstanceId *best = nullptr;
    for (const InstanceId &agent : this->agents) {
        const bool isLess = best == nullptr || this->targetsOf(agent) < this->targetsOf(*best);
        if (isLess && this->isAvailable(agent, now))
            best = &agent;
    }
    const bool isTaken = best != nullptr
        && (this->hasRoom(*best) || this->targetsOf(*best) <= this->targetsOf(this->self));
    return isTaken ? *best : this->self;
}

void AgentPool::dropUnused(Instant now)
{
    this->nextDrop = now + assignmentTimeout;
    for (auto it = this->assignments.begin(); it != this->assignments.end();) {
        const bool isUnused = it->second.usedAt + assignmentTimeout < now;
        if (isUnused)
            --this->counts[it->second.agent];
        it = isUnused ? this->assignments.erase(it) : std::next(it);
    }
}

} // namespace guavavalve::workflows
