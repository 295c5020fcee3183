#include "workflows/agentpool.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavavalve::workflows {

namespace {

/// For an instance that was stopped, frozen or cut off to be missing from those that are there.
constexpr Milliseconds doubtFor{2000};
/// An agent of many targets answers many times a second.
constexpr Milliseconds silenceOfAgent{500};
/// A target without orders for this long has none: each is asked once a second.
constexpr Milliseconds unusedLimit{10000};

} // namespace

AgentPool::AgentPool(InstanceId self, std::size_t targetsPerAgent)
    : self(std::move(self))
    , targetsPerAgent(targetsPerAgent)
{}

void AgentPool::present(const std::vector<InstanceId> &now, Instant at)
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
        if (this->isGood(assignment.agent, now)
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

/// Guards against an agent that is given up for one order that was late: all its targets would open
/// new connections elsewhere.
bool AgentPool::unanswered(const InstanceId &agent, bool isUnreachable, Instant now)
{
    const auto answer = this->answeredAt.find(agent);
    const bool isAlive = answer != this->answeredAt.end() && now < answer->second + silenceOfAgent;
    if (agent == this->self || (isAlive && !isUnreachable))
        return false;
    Instant &until = this->doubtedUntil[agent];
    const bool wasGood = until <= now;
    until = now + doubtFor;
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

bool AgentPool::isGood(const InstanceId &agent, Instant now) const
{
    if (agent == this->self)
        return true;
    const auto doubted = this->doubtedUntil.find(agent);
    return this->agents.count(agent) != 0
        && (doubted == this->doubtedUntil.end() || doubted->second <= now);
}

bool AgentPool::hasRoom(const InstanceId &agent) const
{
    return this->targetsOf(agent) < this->targetsPerAgent;
}

/// Of the others, unless none is good or all have more than the controller's own instance.
const InstanceId &AgentPool::leastLoaded(Instant now) const
{
    const InstanceId *best = nullptr;
    for (const InstanceId &agent : this->agents) {
        const bool isLess = best == nullptr || this->targetsOf(agent) < this->targetsOf(*best);
        if (isLess && this->isGood(agent, now))
            best = &agent;
    }
    const bool isTaken = best != nullptr
        && (this->hasRoom(*best) || this->targetsOf(*best) <= this->targetsOf(this->self));
    return isTaken ? *best : this->self;
}

void AgentPool::dropUnused(Instant now)
{
    this->nextDrop = now + unusedLimit;
    for (auto one = this->assignments.begin(); one != this->assignments.end();) {
        const bool isUnused = one->second.usedAt + unusedLimit < now;
        if (isUnused)
            --this->counts[one->second.agent];
        one = isUnused ? this->assignments.erase(one) : std::next(one);
    }
}

} // namespace guavavalve::workflows
