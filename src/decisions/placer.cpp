#include "decisions/placer.h"

#include <algorithm>
#include <limits>

namespace guavavalve::internal {

namespace {

/// Placements per run: bounds the time of a decision after a burst of submissions.
constexpr std::size_t maxPlacements = 1024;
/// Targets that gained room and are examined in one run; the others follow in the next run.
constexpr std::size_t maxHints = 64;
/// Targets with headroom that are examined for one prompt task.
constexpr std::size_t maxHeadroomTargetsScanned = 64;
/// A search covers only part of a large fleet, so a blocked queue is retried after this time even
/// if no target is known to have gained room.
constexpr Microseconds retryAfter = std::chrono::seconds(1);
constexpr std::size_t maxRetriesPerRun = 4;
/// Blocked queues woken in one run, plus the number below for each hint.
constexpr std::size_t minQueuesWoken = 16;
constexpr std::size_t queuesWokenPerHint = 8;
/// Minimum time before a gang that did not fit is retried: a try costs a search for each task.
constexpr Microseconds gangRetryAfter = std::chrono::milliseconds(100);

} // namespace

Placer::Placer(Ledger &sharedLedger, Reservations &sharedReservations, Quarantine &sharedQuarantine,
               DecisionLog &decisionLog)
    : ledger(sharedLedger)
    , reservations(sharedReservations)
    , quarantine(sharedQuarantine)
    , log(decisionLog)
{}

bool Placer::run(Instant now, std::vector<Decision> &out)
{
    this->placedInRun = 0;
    this->placeProbes(now, out);
    this->wakeQueues(now);
    this->runRound(Round::Prompt, now, out);
    this->runRound(Round::Other, now, out);
    this->requeueHints();
    return this->placedInRun >= maxPlacements || !this->ledger.freedTargets.empty();
}

bool Placer::mayUse(const WorkQueue &queue, const TargetRecord &target, Instant now) const
{
    switch (target.availability()) {
    case Availability::Normal:
        return true;
    case Availability::Reserved:
        return this->reservations.admits(queue, target,
                                         this->ledger.tasks[queue.head].declaredRunTime, now);
    case Availability::Closed:
        break;
    }
    return false;
}

bool Placer::hintsFit(const WorkQueue &queue, Instant now) const
{
    const bool prompt = queue.key.workClass == WorkClass::Prompt;
    return std::any_of(this->hints.begin(), this->hints.end(), [&](const Hint &hint) {
        return queue.charge.fitsInto(prompt ? hint.free : hint.sharedFree)
            && this->mayUse(queue, this->ledger.fleet[hint.target], now);
    });
}

void Placer::takeHints()
{
    std::vector<Index> &freed = this->ledger.freedTargets;
    const std::size_t count = std::min(freed.size(), maxHints);
    this->hints.clear();
    for (std::size_t i = 0; i < count; ++i) {
        TargetRecord &target = this->ledger.fleet[freed[i]];
        target.freed = false;
        this->hints.push_back(Hint{freed[i], target.free(), target.sharedFree()});
    }
    freed.erase(freed.begin(), freed.begin() + static_cast<std::ptrdiff_t>(count));
    this->measureHintRoom();
}

void Placer::measureHintRoom()
{
    this->hintRoom = Resources();
    for (const Hint &hint : this->hints) {
        const Resources free = this->ledger.fleet[hint.target].free();
        for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
            std::int64_t &most = this->hintRoom.amounts[kind];
            most = std::max(most, free.amounts[kind]);
        }
    }
}

void Placer::wakeQueues(Instant now)
{
    this->takeHints();
    this->skippedQueues.clear();
    std::vector<std::pair<double, Index>> fitting;
    for (std::size_t i = 0; i < this->ledger.blocked.size(); ++i) {
        if (!this->ledger.blockedCharges[i].fitsInto(this->hintRoom))
            continue;
        const Index index = this->ledger.blocked[i];
        const WorkQueue &queue = this->ledger.queues[index];
        if (queue.key.workClass != WorkClass::Gang && !this->overClassShare(queue)
            && this->hintsFit(queue, now))
            fitting.emplace_back(this->ledger.teams[queue.key.team].rank, index);
    }
    // The freed room is soon taken again, so only prompt work and the queues of the teams furthest
    // below their share are woken.
    const std::size_t maxWoken = minQueuesWoken + queuesWokenPerHint * this->hints.size();
    if (fitting.size() > maxWoken) {
        std::nth_element(fitting.begin(), fitting.begin() + static_cast<std::ptrdiff_t>(maxWoken),
                         fitting.end());
    }
    for (std::size_t i = 0; i < fitting.size(); ++i) {
        const Index index = fitting[i].second;
        if (i < maxWoken || this->ledger.queues[index].key.workClass == WorkClass::Prompt)
            this->ledger.makeReady(index, true);
        else
            this->skippedQueues.push_back(index);
    }
    this->retryBlocked(now);
}

void Placer::requeueHints()
{
    if (this->skippedQueues.empty())
        return;
    this->measureHintRoom();
    const bool left =
        std::any_of(this->skippedQueues.begin(), this->skippedQueues.end(), [this](Index index) {
            return this->ledger.queues[index].charge.fitsInto(this->hintRoom);
        });
    if (!left)
        return;
    for (const Hint &hint : this->hints)
        this->ledger.markFreed(hint.target);
}

void Placer::retryBlocked(Instant now)
{
    // Round-robin, a few at a time: each retry costs a search of the index, for a gang one per
    // task.
    for (std::size_t i = 0; i < maxRetriesPerRun && !this->ledger.blocked.empty(); ++i) {
        this->retryCursor = (this->retryCursor + 1) % this->ledger.blocked.size();
        const Index index = this->ledger.blocked[this->retryCursor];
        const WorkQueue &queue = this->ledger.queues[index];
        const bool gang = queue.key.workClass == WorkClass::Gang;
        if (now - queue.decidedAt >= (gang ? gangRetryAfter : retryAfter))
            this->ledger.makeReady(index, false);
    }
}

bool Placer::suitsProbe(Index index, const TargetRecord &target) const
{
    const WorkQueue &queue = this->ledger.queues[index];
    return queue.count > 0 && this->ledger.tasks[queue.head].repeatable
        && queue.key.workClass != WorkClass::Gang && queue.key.workClass != WorkClass::Service
        && queue.charge.fitsInto(target.roomFor(queue.key.workClass))
        && this->ledger.withinLimit(this->ledger.teams[queue.key.team], queue.charge);
}

Index Placer::findProbeTask(const TargetRecord &target) const
{
    for (const Index queue : this->ledger.blocked) {
        if (this->suitsProbe(queue, target))
            return this->ledger.queues[queue].head;
    }
    for (Index team = 0; team < this->ledger.teams.limit(); ++team) {
        // Prefers other work to prompt work, which a bad target would delay.
        for (const Round round : {Round::Other, Round::Prompt}) {
            for (const Index queue :
                 this->ledger.teams[team].ready[static_cast<std::size_t>(round)]) {
                if (this->suitsProbe(queue, target))
                    return this->ledger.queues[queue].head;
            }
        }
    }
    return noIndex;
}

void Placer::placeProbes(Instant now, std::vector<Decision> &out)
{
    for (const Index index : this->quarantine.dueForProbe(now)) {
        const Index task = this->findProbeTask(this->ledger.fleet[index]);
        if (task == noIndex)
            continue;
        this->ledger.dequeue(task);
        this->commit(task, index, Reason::Probe, 1, now, out);
        this->ledger.tasks[task].probe = true;
        this->quarantine.probeStarted(index);
    }
}

void Placer::runRound(Round round, Instant now, std::vector<Decision> &out)
{
    while (this->placedInRun < maxPlacements) {
        const Index team = this->ledger.nextTeam(round);
        if (team == noIndex)
            return;
        this->tryQueue(this->nextQueue(this->ledger.teams[team], round), now, out);
    }
}

Index Placer::nextQueue(const TeamRecord &team, Round round) const
{
    Index best = noIndex;
    Instant bestDue = Instant::max();
    for (const Index index : team.ready[static_cast<std::size_t>(round)]) {
        const WorkQueue &queue = this->ledger.queues[index];
        const Instant due = this->ledger.tasks[queue.head].submittedAt
            + this->ledger.policy.of(queue.key.workClass).preemptionDelay;
        if (best == noIndex || due < bestDue) {
            best = index;
            bestDue = due;
        }
    }
    return best;
}

void Placer::tryQueue(Index index, Instant now, std::vector<Decision> &out)
{
    WorkQueue &queue = this->ledger.queues[index];
    const TeamRecord &team = this->ledger.teams[queue.key.team];
    if (!this->ledger.withinLimit(team, queue.charge))
        return this->ledger.block(index, QueueState::AtLimit, Reason::TeamLimit, now);
    if (this->overClassShare(queue))
        return this->ledger.block(index, QueueState::NoRoom, Reason::ShareTurn, now);
    const bool placed = queue.key.workClass == WorkClass::Gang ? this->tryGang(index, now, out)
                                                               : this->trySingle(index, now, out);
    if (placed) {
        queue.blockedSince = now;
        if (queue.reservation != noIndex)
            this->reservations.drop(index);
    }
}

bool Placer::overClassShare(const WorkQueue &queue) const
{
    const double shareLimit = this->ledger.policy.of(queue.key.workClass).maxShare;
    if (shareLimit >= 1.0)
        return false;
    std::uint32_t othersWaiting = 0;
    for (const ClassStatistics &counts : this->ledger.classes)
        othersWaiting += counts.waiting;
    othersWaiting -= this->ledger.counts(queue.key.workClass).waiting;
    const Resources after = this->ledger.classPlaced(queue.key.workClass) + queue.charge;
    return othersWaiting > 0 && after.dominantShare(this->ledger.fleet.total()) > shareLimit;
}

TargetFound Placer::findAmongHints(const WorkQueue &queue, Instant now) const
{
    TargetFound found;
    double best = std::numeric_limits<double>::max();
    for (const Hint &hint : this->hints) {
        const TargetRecord &target = this->ledger.fleet[hint.target];
        if (!queue.charge.fitsInto(target.roomFor(queue.key.workClass))
            || !this->mayUse(queue, target, now))
            continue;
        ++found.considered;
        const double score =
            this->ledger.fleet.score(queue.charge, target.sharedFree(), target.suspicion);
        if (score < best) {
            best = score;
            found.target = hint.target;
        }
    }
    return found;
}

TargetFound Placer::findHeadroom(const WorkQueue &queue)
{
    const std::vector<Index> &headroomTargets = this->ledger.fleet.headroomTargets();
    TargetFound found;
    for (std::size_t i = 0; i < std::min(headroomTargets.size(), maxHeadroomTargetsScanned); ++i) {
        // The cursor stays on a target that has room and advances past those that have none.
        this->headroomCursor %= headroomTargets.size();
        const TargetRecord &target = this->ledger.fleet[headroomTargets[this->headroomCursor]];
        ++found.considered;
        if (target.availability() == Availability::Normal && queue.charge.fitsInto(target.free())
            && (target.promptPlaced + queue.charge).fitsInto(target.headroom)) {
            found.target = headroomTargets[this->headroomCursor];
            return found;
        }
        ++this->headroomCursor;
    }
    return found;
}

TargetFound Placer::findTarget(const WorkQueue &queue, const TaskRecord &task, Instant now)
{
    if (queue.hintsOnly)
        return this->findAmongHints(queue, now);
    if (queue.reservation != noIndex) {
        for (const Index target : this->reservations[queue.reservation].targets) {
            if (this->ledger.fleet[target].availability() == Availability::Reserved
                && queue.charge.fitsInto(this->ledger.fleet[target].sharedFree()))
                return TargetFound{target, 1};
        }
    }
    TargetSearch search;
    search.need = queue.charge;
    if (queue.key.workClass == WorkClass::Service)
        search.spread = this->ledger.spreadOf(task);
    TargetFound found;
    std::uint32_t considered = 0;
    if (queue.key.workClass == WorkClass::Prompt) {
        found = this->findHeadroom(queue);
        considered = found.considered;
    }
    if (found.target == noIndex) {
        found = this->ledger.fleet.find(search);
        considered += found.considered;
    }
    if (found.target == noIndex && this->reservations.any())
        found.target = this->reservations.findBackfill(queue, task.declaredRunTime, now);
    found.considered = considered;
    return found;
}

bool Placer::trySingle(Index index, Instant now, std::vector<Decision> &out)
{
    WorkQueue &queue = this->ledger.queues[index];
    const Index task = queue.head;
    const TargetFound found = this->findTarget(queue, this->ledger.tasks[task], now);
    queue.considered = found.considered;
    if (found.target == noIndex) {
        const bool reserved = queue.reservation != noIndex;
        this->ledger.block(index, QueueState::NoRoom,
                           reserved ? Reason::GangReserved : Reason::NoRoom, now);
        return false;
    }
    Reason reason = Reason::BestFit;
    if (queue.key.workClass == WorkClass::Service)
        reason = Reason::Spread;
    else if (this->ledger.fleet[found.target].availability() == Availability::Reserved
             && this->ledger.fleet[found.target].reservation != queue.reservation)
        reason = Reason::Backfill;
    this->ledger.dequeue(task);
    this->commit(task, found.target, reason, found.considered, now, out);
    return true;
}

bool Placer::planGang(const WorkQueue &queue, const GangRecord &gang)
{
    const Resources &charge = queue.charge;
    this->plan.clear();
    const auto take = [this, &charge](Index target) {
        this->plan.push_back(target);
        this->ledger.fleet[target].placed += charge;
        this->ledger.fleet.refresh(target);
    };
    if (queue.reservation != noIndex) {
        for (const Index target : this->reservations[queue.reservation].targets) {
            while (this->plan.size() < gang.members.size()
                   && this->ledger.fleet[target].availability() == Availability::Reserved
                   && charge.fitsInto(this->ledger.fleet[target].sharedFree()))
                take(target);
        }
    }
    TargetSearch search;
    search.need = charge;
    while (this->plan.size() < gang.members.size()) {
        const TargetFound found = this->ledger.fleet.find(search);
        if (found.target == noIndex)
            return false;
        take(found.target);
    }
    return true;
}

void Placer::undoPlan(const Resources &charge)
{
    for (const Index target : this->plan) {
        this->ledger.fleet[target].placed -= charge;
        this->ledger.fleet.refresh(target);
    }
}

bool Placer::tryGang(Index index, Instant now, std::vector<Decision> &out)
{
    WorkQueue &queue = this->ledger.queues[index];
    GangRecord &gang = *this->ledger.gangOf(this->ledger.tasks[queue.head]);
    const auto size = static_cast<std::int64_t>(gang.members.size());
    Resources all;
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
        all.amounts[kind] = queue.charge.amounts[kind] * size;
    if (!this->ledger.withinLimit(this->ledger.teams[queue.key.team], all)) {
        this->ledger.block(index, QueueState::AtLimit, Reason::TeamLimit, now);
        return false;
    }
    // Comparing with the total free capacity is a cheap way to see that a large gang cannot fit.
    const bool cannotFit =
        queue.reservation == noIndex && !all.fitsInto(this->ledger.fleet.normalFree());
    const bool planned = !cannotFit && this->planGang(queue, gang);
    if (!cannotFit)
        this->undoPlan(queue.charge);
    if (!planned) {
        const bool reserved = queue.reservation != noIndex;
        this->ledger.block(index, QueueState::NoRoom,
                           reserved ? Reason::GangReserved : Reason::NoRoom, now);
        return false;
    }
    const std::vector<Index> members = gang.members;
    const std::vector<Index> targets = this->plan;
    this->ledger.unlinkGang(gang);
    for (std::size_t i = 0; i < members.size(); ++i) {
        this->ledger.dequeue(members[i]);
        this->commit(members[i], targets[i], Reason::GangComplete,
                     static_cast<std::uint32_t>(targets.size()), now, out);
    }
    return true;
}

void Placer::commit(Index index, Index target, Reason reason, std::uint32_t considered, Instant now,
                    std::vector<Decision> &out)
{
    TaskRecord &task = this->ledger.tasks[index];
    const WorkQueue &queue = this->ledger.queues[task.queue];
    this->ledger.place(index, target, queue.charge, now);
    task.reason = reason;
    task.considered = considered;
    const auto classIndex = static_cast<std::size_t>(queue.key.workClass);
    this->ledger.teams[queue.key.team].starts[classIndex].add(now);
    ++this->ledger.counts(queue.key.workClass).placed;
    ++this->placedInRun;
    Decision decision;
    decision.task = task.id;
    decision.target = this->ledger.fleet[target].info.id;
    decision.charge = task.charge;
    decision.reason = reason;
    this->log.emit(decision, considered, now, out);
}

} // namespace guavavalve::internal
