#include "decisions/ledger.h"

#include <algorithm>
#include <cassert>

namespace guavavalve::internal {

namespace {

/// Lets a team of weight zero still get capacity that no other team wants.
constexpr double minWeight = 1e-6;

bool isSpread(const WorkQueue &queue)
{
    return queue.key.workClass == WorkClass::Service;
}

} // namespace

Ledger::Ledger()
    : queues(tasks)
{}

void Ledger::applyPolicy(const Policy &newPolicy)
{
    this->policy = newPolicy;
    for (Index team = 0; team < this->teams.limit(); ++team)
        this->teams[team].configured = false;
    for (const TeamPolicy &teamPolicy : newPolicy.teams) {
        TeamRecord &team = this->teams[this->teamIndex(teamPolicy.team)];
        team.policy = teamPolicy;
        team.configured = true;
    }
    this->rankedAgainst = Resources();
    this->updateRanks();
    for (Index team = 0; team < this->teams.limit(); ++team)
        this->limitChanged(team);
}

Index Ledger::teamIndex(TeamId id)
{
    const auto [entry, isNew] = this->teamById.try_emplace(id, noIndex);
    if (isNew) {
        entry->second = this->teams.add();
        this->teams[entry->second].policy.team = id;
    }
    return entry->second;
}

Index Ledger::findTeam(TeamId id) const
{
    const auto entry = this->teamById.find(id);
    return entry == this->teamById.end() ? noIndex : entry->second;
}

Index Ledger::findTask(TaskId id) const
{
    const auto entry = this->taskById.find(id);
    return entry == this->taskById.end() ? noIndex : entry->second;
}

GangRecord *Ledger::gangOf(const TaskRecord &task)
{
    if (this->queues[task.queue].key.workClass != WorkClass::Gang)
        return nullptr;
    return &this->gangs.at(task.job);
}

bool Ledger::mismatchesGang(const TaskRequest &request) const
{
    const auto gang = this->gangs.find(request.job);
    if (request.workClass != WorkClass::Gang || gang == this->gangs.end())
        return false;
    const TaskRecord &member = this->tasks[gang->second.members.front()];
    const QueueKey &key = this->queues[member.queue].key;
    return key.need != request.need || key.gangSize != request.jobTasks
        || this->teams[key.team].policy.team != request.team;
}

const Spread *Ledger::spreadOf(const TaskRecord &task) const
{
    const auto entry = this->spreads.find(task.job);
    return entry == this->spreads.end() ? nullptr : &entry->second;
}

Index Ledger::add(const TaskRequest &request, Instant now)
{
    QueueKey key;
    key.team = this->teamIndex(request.team);
    key.workClass = request.workClass;
    key.need = request.need;
    if (request.workClass == WorkClass::Gang)
        key.gangSize = request.jobTasks;
    const Index index = this->tasks.add();
    TaskRecord &task = this->tasks[index];
    task.id = request.id;
    task.job = request.job;
    task.startBy = request.startBy;
    task.submittedAt = now;
    task.declaredRunTime = request.declaredRunTime;
    task.repeatable = request.repeatable;
    task.queue = this->queues.acquireReference(key);
    this->taskById.emplace(request.id, index);
    if (request.workClass == WorkClass::Gang) {
        GangRecord &gang = this->gangs[request.job];
        gang.size = std::max(gang.size, request.jobTasks);
        ++gang.submitted;
        task.gangPosition = static_cast<Index>(gang.members.size());
        gang.members.push_back(index);
    }
    return index;
}

void Ledger::remove(Index index)
{
    const TaskRecord &task = this->tasks[index];
    assert(task.target == noIndex && !task.linked
           && "a task must be released and dequeued before it is removed");
    if (this->queues[task.queue].key.workClass == WorkClass::Gang)
        this->leaveGang(index);
    this->taskById.erase(task.id);
    this->queues.dropReference(task.queue);
    this->tasks.remove(index);
}

void Ledger::leaveGang(Index index)
{
    const TaskRecord &task = this->tasks[index];
    const auto entry = this->gangs.find(task.job);
    GangRecord &gang = entry->second;
    const Index last = gang.members.back();
    gang.members[task.gangPosition] = last;
    this->tasks[last].gangPosition = task.gangPosition;
    gang.members.pop_back();
    if (gang.members.empty())
        this->gangs.erase(entry);
    else if (gang.queuedMember == noIndex && gang.complete())
        this->linkGang(gang, true); // the remaining members were waiting for this one
}

void Ledger::link(Index index, bool front)
{
    this->queues.link(index, front);
    const Index queueIndex = this->tasks[index].queue;
    if (this->queues[queueIndex].state == QueueState::Idle)
        this->makeReady(queueIndex, false);
}

void Ledger::unlink(Index index)
{
    const Index queueIndex = this->tasks[index].queue;
    this->queues.unlink(index);
    if (this->queues[queueIndex].count == 0)
        this->setState(queueIndex, QueueState::Idle);
}

void Ledger::linkGang(GangRecord &gang, bool front)
{
    gang.queuedMember = gang.members.front();
    this->link(gang.queuedMember, front);
}

void Ledger::unlinkGang(GangRecord &gang)
{
    if (gang.queuedMember == noIndex)
        return;
    this->unlink(gang.queuedMember);
    gang.queuedMember = noIndex;
}

void Ledger::enqueue(Index index, bool front, Instant now)
{
    TaskRecord &task = this->tasks[index];
    WorkQueue &queue = this->queues[task.queue];
    TeamRecord &team = this->teams[queue.key.team];
    const WorkClass workClass = queue.key.workClass;
    ++team.waiting[static_cast<std::size_t>(workClass)];
    team.waitingNeed += queue.key.need;
    ++this->counts(workClass).waiting;
    if (queue.count == 0)
        queue.blockedSince = now;
    if (workClass != WorkClass::Gang)
        return this->link(index, front);
    GangRecord &gang = this->gangs.at(task.job);
    ++gang.waiting;
    if (gang.complete())
        this->linkGang(gang, front);
}

void Ledger::dequeue(Index index)
{
    TaskRecord &task = this->tasks[index];
    WorkQueue &queue = this->queues[task.queue];
    TeamRecord &team = this->teams[queue.key.team];
    const WorkClass workClass = queue.key.workClass;
    --team.waiting[static_cast<std::size_t>(workClass)];
    team.waitingNeed -= queue.key.need;
    --this->counts(workClass).waiting;
    if (workClass != WorkClass::Gang)
        return this->unlink(index);
    GangRecord &gang = this->gangs.at(task.job);
    --gang.waiting;
    if (gang.queuedMember != index)
        return;
    // The gang keeps its position in the queue when the member that represents it is dequeued.
    const auto other =
        std::find_if(gang.members.begin(), gang.members.end(), [this, index](Index member) {
            return member != index && this->tasks[member].target == noIndex;
        });
    if (other == gang.members.end())
        return this->unlinkGang(gang);
    this->queues.substitute(index, *other);
    gang.queuedMember = *other;
}

void Ledger::place(Index index, Index targetIndex, const Resources &charge, Instant now)
{
    TaskRecord &task = this->tasks[index];
    TargetRecord &target = this->fleet[targetIndex];
    const QueueKey &key = this->queues[task.queue].key;
    task.target = targetIndex;
    task.charge = charge;
    task.placedAt = now;
    task.targetPosition = static_cast<Index>(target.tasks.size());
    target.tasks.push_back(index);
    target.placed += charge;
    if (key.workClass == WorkClass::Prompt)
        target.promptPlaced += charge;
    this->fleet.refresh(targetIndex);
    this->placed += charge;
    this->classPlaced(key.workClass) += charge;
    ++this->counts(key.workClass).running;
    TeamRecord &team = this->teams[key.team];
    team.placed += charge;
    ++team.running;
    this->updateRank(key.team);
    if (isSpread(this->queues[task.queue]))
        this->spreads[task.job].add(target.info.failureDomain, target.info.rack);
}

void Ledger::release(Index index)
{
    TaskRecord &task = this->tasks[index];
    TargetRecord &target = this->fleet[task.target];
    const WorkQueue &queue = this->queues[task.queue];
    const Index last = target.tasks.back();
    target.tasks[task.targetPosition] = last;
    this->tasks[last].targetPosition = task.targetPosition;
    target.tasks.pop_back();
    target.placed -= task.charge;
    if (queue.key.workClass == WorkClass::Prompt)
        target.promptPlaced -= task.charge;
    target.usedMilliCores -= task.usedMilliCores;
    target.usedMemoryMb -= task.usedMemoryMb;
    this->fleet.refresh(task.target);
    this->markFreed(task.target);
    this->placed -= task.charge;
    this->classPlaced(queue.key.workClass) -= task.charge;
    --this->counts(queue.key.workClass).running;
    TeamRecord &team = this->teams[queue.key.team];
    team.placed -= task.charge;
    --team.running;
    this->updateRank(queue.key.team);
    this->limitChanged(queue.key.team);
    if (isSpread(queue)) {
        const auto spread = this->spreads.find(task.job);
        spread->second.remove(target.info.failureDomain, target.info.rack);
        if (spread->second.empty())
            this->spreads.erase(spread);
    }
    task.target = noIndex;
    task.usedMilliCores = 0;
    task.usedMemoryMb = 0;
    task.throttled = false;
    task.preempting = false;
    task.probe = false;
}

void Ledger::moveTarget(Index targetIndex, std::uint16_t domain, std::uint16_t rack)
{
    TargetRecord &target = this->fleet[targetIndex];
    for (const Index index : target.tasks) {
        const TaskRecord &task = this->tasks[index];
        if (!isSpread(this->queues[task.queue]))
            continue;
        Spread &spread = this->spreads[task.job];
        spread.remove(target.info.failureDomain, target.info.rack);
        spread.add(domain, rack);
    }
    target.info.failureDomain = domain;
    target.info.rack = rack;
}

std::vector<Index> *Ledger::listOfState(const WorkQueue &queue)
{
    TeamRecord &team = this->teams[queue.key.team];
    switch (queue.state) {
    case QueueState::Ready:
        return &team.ready[static_cast<std::size_t>(roundOf(queue.key.workClass))];
    case QueueState::NoRoom:
        return &this->blocked;
    case QueueState::AtLimit:
        return &team.atLimit;
    case QueueState::Idle:
        break;
    }
    return nullptr;
}

void Ledger::leaveState(Index index)
{
    WorkQueue &queue = this->queues[index];
    std::vector<Index> *list = this->listOfState(queue);
    if (list == nullptr)
        return;
    const Index last = list->back();
    (*list)[queue.statePosition] = last;
    this->queues[last].statePosition = queue.statePosition;
    list->pop_back();
    if (queue.state == QueueState::NoRoom) {
        this->blockedCharges[queue.statePosition] = this->blockedCharges.back();
        this->blockedCharges.pop_back();
    }
    if (queue.state == QueueState::Ready && list->empty())
        this->removeFromOrder(queue.key.team, roundOf(queue.key.workClass));
    queue.state = QueueState::Idle;
}

void Ledger::setState(Index index, QueueState state)
{
    this->leaveState(index);
    WorkQueue &queue = this->queues[index];
    queue.state = state;
    std::vector<Index> *list = this->listOfState(queue);
    if (list == nullptr)
        return;
    queue.statePosition = static_cast<Index>(list->size());
    list->push_back(index);
    if (state == QueueState::NoRoom)
        this->blockedCharges.push_back(queue.charge);
    if (state == QueueState::Ready)
        this->addToOrder(queue.key.team, roundOf(queue.key.workClass));
}

void Ledger::makeReady(Index index, bool hintsOnly)
{
    WorkQueue &queue = this->queues[index];
    if (queue.count == 0)
        return;
    if (queue.state == QueueState::Ready) {
        queue.hintsOnly = queue.hintsOnly && hintsOnly;
        return;
    }
    queue.hintsOnly = hintsOnly;
    this->setState(index, QueueState::Ready);
}

void Ledger::block(Index index, QueueState state, Reason reason, Instant now)
{
    WorkQueue &queue = this->queues[index];
    queue.reason = reason;
    queue.decidedAt = now;
    this->setState(index, state);
}

void Ledger::limitChanged(Index teamIndex)
{
    TeamRecord &team = this->teams[teamIndex];
    while (!team.atLimit.empty())
        this->makeReady(team.atLimit.back(), false);
}

void Ledger::addToOrder(Index teamIndex, Round round)
{
    TeamRecord &team = this->teams[teamIndex];
    bool &ordered = team.ordered[static_cast<std::size_t>(round)];
    if (ordered)
        return;
    ordered = true;
    this->orders[static_cast<std::size_t>(round)].emplace(team.rank, teamIndex);
}

void Ledger::removeFromOrder(Index teamIndex, Round round)
{
    TeamRecord &team = this->teams[teamIndex];
    bool &ordered = team.ordered[static_cast<std::size_t>(round)];
    if (!ordered)
        return;
    ordered = false;
    this->orders[static_cast<std::size_t>(round)].erase({team.rank, teamIndex});
}

void Ledger::updateRank(Index teamIndex)
{
    TeamRecord &team = this->teams[teamIndex];
    const double rank = this->rankWith(team, Resources());
    for (const Round round : {Round::Prompt, Round::Other}) {
        if (!team.ordered[static_cast<std::size_t>(round)])
            continue;
        Order &order = this->orders[static_cast<std::size_t>(round)];
        order.erase({team.rank, teamIndex});
        order.emplace(rank, teamIndex);
    }
    team.rank = rank;
}

void Ledger::updateRanks()
{
    if (this->rankedAgainst == this->fleet.total())
        return;
    this->rankedAgainst = this->fleet.total();
    for (Index team = 0; team < this->teams.limit(); ++team)
        this->updateRank(team);
}

Index Ledger::nextTeam(Round round) const
{
    const Order &order = this->orders[static_cast<std::size_t>(round)];
    return order.empty() ? noIndex : order.begin()->second;
}

double Ledger::rankWith(const TeamRecord &team, const Resources &extra) const
{
    return (team.placed + extra).dominantShare(this->rankedAgainst)
        / std::max(team.policy.weight, minWeight);
}

} // namespace guavavalve::internal
