#include "decisions/preemptor.h"

#include <algorithm>
#include <limits>

namespace guavavalve::internal {

namespace {

/// Targets scanned to make room for one task: bounds the time of a decision on a large fleet.
constexpr Index maxTargetsScanned = 32;
/// Queues for which one update makes room.
constexpr int maxQueuesServed = 4;
/// Tasks at the head of one queue for which room is made at once.
constexpr std::uint32_t maxHeads = 8;
/// A checkpoint or stop that has not ended its task after this time is followed by another stop.
constexpr Microseconds escalateAfter = std::chrono::seconds(10);
/// Minimum interval between preemptions for one queue. The preemption delay of prompt work is
/// shorter than the time in which the requested room can be freed.
constexpr Microseconds preemptAgainAfter = std::chrono::seconds(1);
/// Processors are time-shared, so slight overuse is tolerated.
constexpr std::int64_t maxCoreUsePercent = 105;

} // namespace

Preemptor::Preemptor(Ledger &sharedLedger, DecisionLog &decisionLog)
    : ledger(sharedLedger)
    , log(decisionLog)
{}

void Preemptor::usageChanged(Index index)
{
    const TargetRecord &target = this->ledger.fleet[index];
    const bool over = target.usedMemoryMb > target.info.total[ResourceKind::MemoryMb]
        || target.usedMilliCores * 100
            > target.info.total[ResourceKind::MilliCores] * maxCoreUsePercent;
    if (over
        && std::find(this->overusedTargets.begin(), this->overusedTargets.end(), index)
            == this->overusedTargets.end())
        this->overusedTargets.push_back(index);
}

void Preemptor::stopRemainingMembers(const GangRecord &gang)
{
    for (const Index member : gang.members) {
        const TaskRecord &task = this->ledger.tasks[member];
        if (task.target != noIndex && !task.preempting && task.repeatable)
            this->membersToStop.push_back(task.id);
    }
}

Instant Preemptor::nextEscalation() const
{
    return this->pending.empty() ? Instant::max() : this->pending.front().at + escalateAfter;
}

void Preemptor::update(Instant now, std::vector<Decision> &out)
{
    for (const TaskId id : this->membersToStop) {
        const Index task = this->ledger.findTask(id);
        if (task != noIndex && this->ledger.tasks[task].target != noIndex
            && !this->ledger.tasks[task].preempting)
            this->issueRequest(task, DecisionKind::Stop, Reason::GangBroken, now, out);
    }
    this->membersToStop.clear();
    if (this->limitsToCheck)
        this->enforceLimits(now, out);
    this->limitsToCheck = false;
    for (const Index target : this->overusedTargets)
        this->relieveOveruse(target, now, out);
    this->overusedTargets.clear();
    this->escalate(now, out);
    int served = 0;
    const std::size_t count = this->ledger.blocked.size();
    for (std::size_t i = 0; i < count && served < maxQueuesServed; ++i) {
        this->queueCursor = (this->queueCursor + 1) % count;
        const Index queue = this->ledger.blocked[this->queueCursor];
        if (this->waitsTooLong(this->ledger.queues[queue], now)) {
            this->preemptFor(queue, now, out);
            ++served;
        }
    }
}

bool Preemptor::isPreemptible(const TaskRecord &task) const
{
    const WorkClass workClass = this->ledger.queues[task.queue].key.workClass;
    return task.repeatable && !task.preempting && this->ledger.policy.of(workClass).preemptible;
}

bool Preemptor::isPreemptibleFor(const TaskRecord &task, const WorkQueue &queue) const
{
    if (!this->isPreemptible(task))
        return false;
    if (queue.key.workClass == WorkClass::Prompt)
        return true;
    // Share is reclaimed only as long as the two teams do not change places in rank. Otherwise they
    // would preempt each other indefinitely.
    const WorkQueue &other = this->ledger.queues[task.queue];
    const TeamRecord &from = this->ledger.teams[other.key.team];
    const TeamRecord &to = this->ledger.teams[queue.key.team];
    return other.key.team != queue.key.team
        && this->ledger.rankWith(from, Resources() - task.charge)
        >= this->ledger.rankWith(to, queue.charge);
}

double Preemptor::costOf(const TaskRecord &task, Instant now) const
{
    // The cost is the lost work: resources times run time. A gang loses that of all its tasks.
    const QueueKey &key = this->ledger.queues[task.queue].key;
    const double seconds = 1.0 + std::chrono::duration<double>(now - task.placedAt).count();
    return seconds * task.charge.dominantShare(this->ledger.fleet.largest())
        * static_cast<double>(key.gangSize);
}

VictimSet Preemptor::victimsOn(Index index, const WorkQueue &queue, Instant now) const
{
    const TargetRecord &target = this->ledger.fleet[index];
    Resources wanted = queue.charge + this->claimedOn(index) - target.roomFor(queue.key.workClass);
    std::vector<Victim> victims;
    for (const Index taskIndex : target.tasks) {
        const TaskRecord &task = this->ledger.tasks[taskIndex];
        if (task.preempting)
            wanted -= task.charge;
        else if (this->isPreemptibleFor(task, queue))
            victims.push_back(Victim{taskIndex, task.charge, this->costOf(task, now)});
    }
    if (wanted.fitsInto(Resources())) {
        VictimSet nothing; // the pending requests free enough
        nothing.sufficient = true;
        return nothing;
    }
    return cheapestSet(std::move(victims), wanted);
}

bool Preemptor::waitsTooLong(const WorkQueue &queue, Instant now) const
{
    const Microseconds preemptionDelay =
        this->ledger.policy.of(queue.key.workClass).preemptionDelay;
    if (preemptionDelay.count() == 0
        || now - queue.preemptionRequestedAt < std::max(preemptionDelay, preemptAgainAfter))
        return false;
    // A class that already has its share of the cell may not preempt others to get more. Under a
    // steady overload of prompt work a gang would otherwise be preempted soon after each start.
    if (queue.reason == Reason::ShareTurn)
        return false;
    // For prompt work the head's own wait counts, even if other tasks of its queue were placed.
    const bool prompt = queue.key.workClass == WorkClass::Prompt;
    const Instant since = prompt ? this->ledger.tasks[queue.head].submittedAt : queue.blockedSince;
    return now - since >= preemptionDelay;
}

void Preemptor::preemptFor(Index queueIndex, Instant now, std::vector<Decision> &out)
{
    WorkQueue &queue = this->ledger.queues[queueIndex];
    const bool prompt = queue.key.workClass == WorkClass::Prompt;
    queue.preemptionRequestedAt = now;
    const Reason reason = prompt                 ? Reason::RoomForPrompt
        : queue.key.workClass == WorkClass::Gang ? Reason::RoomForGang
                                                 : Reason::ShareReclaimed;
    const std::uint32_t heads = std::min(queue.count * queue.key.gangSize, maxHeads);
    this->claims.clear();
    for (std::uint32_t head = 0; head < heads; ++head) {
        const VictimSet best = this->bestVictims(queue, now);
        if (!best.sufficient)
            return;
        this->claims.push_back(Claim{best.target, queue.charge});
        for (const Index task : best.tasks)
            this->requestCheckpoint(task, reason, now, out);
    }
}

Resources Preemptor::claimedOn(Index target) const
{
    Resources claimed;
    for (const Claim &claim : this->claims) {
        if (claim.target == target)
            claimed += claim.room;
    }
    return claimed;
}

VictimSet Preemptor::bestVictims(const WorkQueue &queue, Instant now)
{
    const bool prompt = queue.key.workClass == WorkClass::Prompt;
    const Index limit = this->ledger.fleet.limit();
    VictimSet best;
    for (Index i = 0; i < std::min(limit, maxTargetsScanned); ++i) {
        this->cursor = (this->cursor + 1) % limit;
        const TargetRecord &target = this->ledger.fleet[this->cursor];
        const Availability availability = target.availability();
        if (availability == Availability::Closed
            || (availability == Availability::Reserved && !prompt
                && target.reservation != queue.reservation)
            || !queue.charge.fitsInto(target.info.total))
            continue;
        VictimSet set = this->victimsOn(this->cursor, queue, now);
        set.target = this->cursor;
        if (set.sufficient && (!best.sufficient || set.cost < best.cost))
            best = std::move(set);
    }
    return best;
}

void Preemptor::enforceLimits(Instant now, std::vector<Decision> &out)
{
    std::vector<std::vector<Index>> candidates(this->ledger.teams.limit());
    bool any = false;
    for (Index team = 0; team < this->ledger.teams.limit(); ++team) {
        const TeamRecord &record = this->ledger.teams[team];
        any = any || (record.configured && !record.placed.fitsInto(record.policy.limit));
    }
    if (!any)
        return;
    for (Index target = 0; target < this->ledger.fleet.limit(); ++target) {
        for (const Index task : this->ledger.fleet[target].tasks) {
            const Index team = this->ledger.queues[this->ledger.tasks[task].queue].key.team;
            const TeamRecord &record = this->ledger.teams[team];
            if (record.configured && !record.placed.fitsInto(record.policy.limit))
                candidates[team].push_back(task);
        }
    }
    for (Index team = 0; team < candidates.size(); ++team)
        this->enforceLimit(team, candidates[team], now, out);
}

void Preemptor::enforceLimit(Index teamIndex, std::vector<Index> &candidates, Instant now,
                             std::vector<Decision> &out)
{
    const TeamRecord &team = this->ledger.teams[teamIndex];
    Resources excess = team.placed - team.policy.limit;
    std::vector<Victim> victims;
    for (const Index index : candidates) {
        const TaskRecord &task = this->ledger.tasks[index];
        if (task.preempting)
            excess -= task.charge;
        else if (this->isPreemptible(task))
            victims.push_back(Victim{index, task.charge, this->costOf(task, now)});
    }
    if (excess.fitsInto(Resources()))
        return;
    VictimSet set = cheapestSet(victims, excess);
    if (!set.sufficient) {
        // Too few tasks are preemptible to reach the limit: preempt all of them and let the others
        // run to completion.
        for (const Victim &victim : victims)
            set.tasks.push_back(victim.task);
    }
    for (const Index task : set.tasks)
        this->requestCheckpoint(task, Reason::LimitLowered, now, out);
}

void Preemptor::relieveOveruse(Index targetIndex, Instant now, std::vector<Decision> &out)
{
    const TargetRecord &target = this->ledger.fleet[targetIndex];
    const bool memory = target.usedMemoryMb > target.info.total[ResourceKind::MemoryMb];
    Index worst = noIndex;
    std::int64_t worstExcess = std::numeric_limits<std::int64_t>::min();
    for (const Index index : target.tasks) {
        const TaskRecord &task = this->ledger.tasks[index];
        if (task.preempting)
            return; // wait for the pending request
        if (!this->isPreemptible(task))
            continue;
        const std::int64_t excess = memory
            ? task.usedMemoryMb - task.charge[ResourceKind::MemoryMb]
            : task.usedMilliCores - task.charge[ResourceKind::MilliCores];
        if (excess > worstExcess) {
            worstExcess = excess;
            worst = index;
        }
    }
    if (worst == noIndex)
        return;
    // Processor use can be throttled; memory is only freed when a task ends.
    if (memory || this->ledger.tasks[worst].throttled)
        return this->requestCheckpoint(worst, Reason::TargetOverused, now, out);
    this->ledger.tasks[worst].throttled = true;
    this->issueRequest(worst, DecisionKind::Throttle, Reason::TargetOverused, now, out);
}

void Preemptor::requestCheckpoint(Index task, Reason reason, Instant now,
                                  std::vector<Decision> &out)
{
    this->issueRequest(task, DecisionKind::Checkpoint, reason, now, out);
}

void Preemptor::issueRequest(Index index, DecisionKind kind, Reason reason, Instant now,
                             std::vector<Decision> &out)
{
    TaskRecord &task = this->ledger.tasks[index];
    if (!task.preempting)
        ++this->ledger.counts(this->ledger.queues[task.queue].key.workClass).preempted;
    if (kind != DecisionKind::Throttle) {
        task.preempting = true;
        this->pending.push_back(PendingRequest{now, task.id, task.placedAt, reason});
    }
    Decision decision;
    decision.kind = kind;
    decision.task = task.id;
    decision.target = this->ledger.fleet[task.target].info.id;
    decision.charge = task.charge;
    decision.reason = reason;
    this->log.emit(decision, 0, now, out);
}

void Preemptor::escalate(Instant now, std::vector<Decision> &out)
{
    while (!this->pending.empty() && now - this->pending.front().at >= escalateAfter) {
        const PendingRequest pendingRequest = this->pending.front();
        this->pending.pop_front();
        const Index index = this->ledger.findTask(pendingRequest.task);
        if (index == noIndex)
            continue;
        const TaskRecord &task = this->ledger.tasks[index];
        if (task.target != noIndex && task.preempting && task.placedAt == pendingRequest.placedAt)
            this->issueRequest(index, DecisionKind::Stop, pendingRequest.reason, now, out);
    }
}

} // namespace guavavalve::internal
