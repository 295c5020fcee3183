#include "decisions/preemptor.h"

#include <algorithm>
#include <limits>

namespace guavavalve::internal {

namespace {

/// Targets weighed to make room for one task: bounds the time of a decision on a large fleet.
constexpr Index maxTargetsSeen = 32;
/// Queues that one update makes room for.
constexpr int maxQueuesServed = 4;
/// Heads of one queue that room is made for at once.
constexpr std::uint32_t maxHeads = 8;
/// A checkpoint that has not ended its task after this long is followed by a stop, and a stop by
/// another.
constexpr Microseconds insistAfter = std::chrono::seconds(10);
/// Prompt work asks again sooner than its room can come free.
constexpr Microseconds askAgainAfter = std::chrono::seconds(1);
/// Processors are shared by the moment, so a little too much use of them is borne.
constexpr std::int64_t coresBornePercent = 105;

} // namespace

Preemptor::Preemptor(Ledger &books, DecisionLog &decisionLog)
    : ledger(books)
    , log(decisionLog)
{}

void Preemptor::usageChanged(Index index)
{
    const TargetRecord &target = this->ledger.fleet[index];
    const bool over = target.usedMemoryMb > target.info.total[ResourceKind::MemoryMb]
        || target.usedMilliCores * 100
            > target.info.total[ResourceKind::MilliCores] * coresBornePercent;
    if (over
        && std::find(this->overused.begin(), this->overused.end(), index) == this->overused.end())
        this->overused.push_back(index);
}

void Preemptor::stopRemainingMembers(const GangRecord &gang)
{
    for (const Index member : gang.members) {
        const TaskRecord &task = this->ledger.tasks[member];
        if (task.target != noIndex && !task.ending && task.repeatable)
            this->broken.push_back(task.id);
    }
}

Instant Preemptor::nextEscalation() const
{
    return this->asked.empty() ? Instant::max() : this->asked.front().at + insistAfter;
}

void Preemptor::update(Instant now, std::vector<Decision> &out)
{
    for (const TaskId id : this->broken) {
        const Index task = this->ledger.findTask(id);
        if (task != noIndex && this->ledger.tasks[task].target != noIndex
            && !this->ledger.tasks[task].ending)
            this->ask(task, DecisionKind::Stop, Reason::GangBroken, now, out);
    }
    this->broken.clear();
    if (this->limitsToCheck)
        this->enforceLimits(now, out);
    this->limitsToCheck = false;
    for (const Index target : this->overused)
        this->relieve(target, now, out);
    this->overused.clear();
    this->insist(now, out);
    int served = 0;
    const std::size_t count = this->ledger.blocked.size();
    for (std::size_t i = 0; i < count && served < maxQueuesServed; ++i) {
        this->queueCursor = (this->queueCursor + 1) % count;
        const Index queue = this->ledger.blocked[this->queueCursor];
        if (this->waitsTooLong(this->ledger.queues[queue], now)) {
            this->makeRoomFor(queue, now, out);
            ++served;
        }
    }
}

bool Preemptor::mayEnd(const TaskRecord &task) const
{
    const WorkClass workClass = this->ledger.queues[task.queue].key.workClass;
    return task.repeatable && !task.ending && this->ledger.policy.of(workClass).preemptible;
}

bool Preemptor::givesWay(const TaskRecord &task, const WorkQueue &queue) const
{
    if (!this->mayEnd(task))
        return false;
    if (queue.key.workClass == WorkClass::Prompt)
        return true;
    // Taken back only so far that the two teams do not change places: or they would take from
    // each other for ever.
    const WorkQueue &other = this->ledger.queues[task.queue];
    const TeamRecord &from = this->ledger.teams[other.key.team];
    const TeamRecord &to = this->ledger.teams[queue.key.team];
    return other.key.team != queue.key.team
        && this->ledger.rankWith(from, Resources() - task.charge)
        >= this->ledger.rankWith(to, queue.charge);
}

double Preemptor::costOf(const TaskRecord &task, Instant now) const
{
    // The work that is lost: resources times the time they were used. A gang loses all of it.
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
        if (task.ending)
            wanted -= task.charge;
        else if (this->givesWay(task, queue))
            victims.push_back(Victim{taskIndex, task.charge, this->costOf(task, now)});
    }
    if (wanted.fitsInto(Resources())) {
        VictimSet nothing; // what has been asked for already suffices
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
        || now - queue.roomAskedAt < std::max(preemptionDelay, askAgainAfter))
        return false;
    // A class that holds its part of the cell may not end the others' work for more: under a
    // steady overload of prompt work a gang would be ended each time soon after it has started.
    if (queue.reason == Reason::ShareTurn)
        return false;
    // Prompt work waits too long when its head does, even where others of its queue were placed.
    const bool prompt = queue.key.workClass == WorkClass::Prompt;
    const Instant since = prompt ? this->ledger.tasks[queue.head].submittedAt : queue.blockedSince;
    return now - since >= preemptionDelay;
}

void Preemptor::makeRoomFor(Index queueIndex, Instant now, std::vector<Decision> &out)
{
    WorkQueue &queue = this->ledger.queues[queueIndex];
    const bool prompt = queue.key.workClass == WorkClass::Prompt;
    queue.roomAskedAt = now;
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
            this->end(task, reason, now, out);
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
    for (Index i = 0; i < std::min(limit, maxTargetsSeen); ++i) {
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
        if (task.ending)
            excess -= task.charge;
        else if (this->mayEnd(task))
            victims.push_back(Victim{index, task.charge, this->costOf(task, now)});
    }
    if (excess.fitsInto(Resources()))
        return;
    VictimSet set = cheapestSet(victims, excess);
    if (!set.sufficient) {
        // Not all of the excess may be ended: what may be, is; the rest runs out.
        for (const Victim &victim : victims)
            set.tasks.push_back(victim.task);
    }
    for (const Index task : set.tasks)
        this->end(task, Reason::LimitLowered, now, out);
}

void Preemptor::relieve(Index targetIndex, Instant now, std::vector<Decision> &out)
{
    const TargetRecord &target = this->ledger.fleet[targetIndex];
    const bool memory = target.usedMemoryMb > target.info.total[ResourceKind::MemoryMb];
    Index worst = noIndex;
    std::int64_t worstExcess = std::numeric_limits<std::int64_t>::min();
    for (const Index index : target.tasks) {
        const TaskRecord &task = this->ledger.tasks[index];
        if (task.ending)
            return; // wait for what has been asked for
        if (!this->mayEnd(task))
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
    // Processors can be throttled; memory in use can only be given back by ending a task.
    if (memory || this->ledger.tasks[worst].throttled)
        return this->end(worst, Reason::TargetOverused, now, out);
    this->ledger.tasks[worst].throttled = true;
    this->ask(worst, DecisionKind::Throttle, Reason::TargetOverused, now, out);
}

void Preemptor::end(Index task, Reason reason, Instant now, std::vector<Decision> &out)
{
    this->ask(task, DecisionKind::Checkpoint, reason, now, out);
}

void Preemptor::ask(Index index, DecisionKind kind, Reason reason, Instant now,
                    std::vector<Decision> &out)
{
    TaskRecord &task = this->ledger.tasks[index];
    if (!task.ending)
        ++this->ledger.counts(this->ledger.queues[task.queue].key.workClass).preempted;
    if (kind != DecisionKind::Throttle) {
        task.ending = true;
        this->asked.push_back(Asked{now, task.id, task.placedAt, reason});
    }
    Decision decision;
    decision.kind = kind;
    decision.task = task.id;
    decision.target = this->ledger.fleet[task.target].info.id;
    decision.charge = task.charge;
    decision.reason = reason;
    this->log.emit(decision, 0, now, out);
}

void Preemptor::insist(Instant now, std::vector<Decision> &out)
{
    while (!this->asked.empty() && now - this->asked.front().at >= insistAfter) {
        const Asked asking = this->asked.front();
        this->asked.pop_front();
        const Index index = this->ledger.findTask(asking.task);
        if (index == noIndex)
            continue;
        const TaskRecord &task = this->ledger.tasks[index];
        if (task.target != noIndex && task.ending && task.placedAt == asking.placedAt)
            this->ask(index, DecisionKind::Stop, asking.reason, now, out);
    }
}

} // namespace guavavalve::internal
