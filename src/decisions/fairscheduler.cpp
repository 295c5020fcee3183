#include "decisions/fairscheduler.h"

#include "decisions/admission.h"
#include "decisions/deadlines.h"
#include "decisions/decisionlog.h"
#include "decisions/explainer.h"
#include "decisions/headroom.h"
#include "decisions/ledger.h"
#include "decisions/placer.h"
#include "decisions/preemptor.h"
#include "decisions/quarantine.h"
#include "decisions/reservations.h"
#include "decisions/shares.h"

#include <algorithm>

namespace guavavalve {

using namespace internal;

namespace {

constexpr std::size_t decisionLogCapacity = 16384; // records
/// One of the three maintenance steps runs per interval, in turn: running all at once would make a
/// few decisions much slower than the others.
constexpr Microseconds maintenanceInterval = std::chrono::milliseconds(20);
/// Usage measured sooner than this after a start is that of a task that is still starting up.
constexpr Microseconds usageSettlingTime = std::chrono::seconds(1);

} // namespace

struct FairScheduler::Private
{
    enum class MaintenanceStep : std::uint8_t { Headroom, Reservations, Preemption };

    Ledger ledger;
    DecisionLog log{decisionLogCapacity};
    Reservations reservations{ledger};
    Quarantine quarantine{ledger};
    Headroom headroom{ledger};
    Preemptor preemptor{ledger, log};
    Placer placer{ledger, reservations, quarantine, log};
    Deadlines deadlines;
    Instant lastMaintenance{};
    MaintenanceStep nextMaintenanceStep = MaintenanceStep::Headroom;
    bool moreToPlace = false; ///< the last decide() stopped at its limit with work left
    bool changed = false; ///< an event arrived since the last decide()

    bool needsMaintenance() const
    {
        return !this->ledger.blocked.empty() || this->headroom.targets() > 0
            || this->preemptor.hasWork();
    }

    void endAttempt(Index task, AttemptOutcome end, Instant now);
    void correctSize(WorkQueue &queue);
    void wakeIfChargeChanged(Index queue, const Resources &before);
    void refuseExpired(Instant now, std::vector<Decision> &out);
    void runMaintenance(Instant now, std::vector<Decision> &out);
    void enqueue(Index task, bool front, Instant now);
    void undoPlacement(Index task, Instant now);
};

FairScheduler::FairScheduler()
    : d(std::make_unique<Private>())
{}

FairScheduler::~FairScheduler() = default;

void FairScheduler::applyPolicy(const Policy &policy, Instant)
{
    this->d->ledger.applyPolicy(policy);
    this->d->preemptor.limitsChanged();
    this->d->changed = true;
}

void FairScheduler::targetChanged(const TargetInfo &info, Instant)
{
    Ledger &ledger = this->d->ledger;
    const Index index = ledger.fleet.indexOf(info.id);
    TargetRecord &target = ledger.fleet[index];
    const bool restarted = target.info.incarnation != info.incarnation;
    ledger.moveTarget(index, info.failureDomain, info.rack);
    target.info = info;
    target.known = true;
    // The new process may no longer have the fault of the old one.
    if (restarted)
        this->d->quarantine.clearRecord(index);
    ledger.fleet.refresh(index);
    ledger.markFreed(index);
    this->d->changed = true;
}

void FairScheduler::targetLost(TargetId id, Instant)
{
    Ledger &ledger = this->d->ledger;
    const Index index = ledger.fleet.find(id);
    if (index == noIndex)
        return;
    ledger.fleet[index].known = false;
    this->d->quarantine.clearRecord(index);
    ledger.fleet.refresh(index);
    this->d->changed = true;
}

Result<void> FairScheduler::submit(const TaskRequest &request, Instant now)
{
    Ledger &ledger = this->d->ledger;
    Result<void> admitted = admit(ledger, request, now);
    if (admitted.has_error()) {
        ++ledger.counts(request.workClass).refused;
        return admitted;
    }
    const Index task = ledger.add(request, now);
    if (request.workClass == WorkClass::Prompt)
        this->d->headroom.promptArrived(ledger.queues[ledger.tasks[task].queue].charge, now);
    this->d->enqueue(task, false, now);
    this->d->changed = true;
    return boost::outcome_v2::success();
}

void FairScheduler::restorePlaced(const TaskRequest &request, const Resources &charge,
                                  TargetId target, Instant now)
{
    Ledger &ledger = this->d->ledger;
    if (ledger.findTask(request.id) != noIndex)
        return;
    const Index task = ledger.add(request, now);
    ledger.place(task, ledger.fleet.indexOf(target), charge, now);
}

void FairScheduler::taskEnded(TaskId id, AttemptOutcome end, Instant now)
{
    Ledger &ledger = this->d->ledger;
    const Index task = ledger.findTask(id);
    if (task == noIndex)
        return;
    if (ledger.tasks[task].target == noIndex)
        ledger.dequeue(task);
    else
        this->d->endAttempt(task, end, now);
    ledger.remove(task);
    this->d->changed = true;
}

void FairScheduler::Private::endAttempt(Index index, AttemptOutcome end, Instant now)
{
    const TaskRecord &task = this->ledger.tasks[index];
    WorkQueue &queue = this->ledger.queues[task.queue];
    this->quarantine.recordOutcome(task, end, now);
    if (end == AttemptOutcome::Succeeded) {
        queue.profile.addRunTime(now - task.placedAt);
        if (queue.key.workClass == WorkClass::Prompt)
            this->headroom.promptEnded(now - task.placedAt);
    }
    this->ledger.release(index);
}

void FairScheduler::Private::enqueue(Index index, bool front, Instant now)
{
    const TaskRecord &task = this->ledger.tasks[index];
    this->ledger.enqueue(index, front, now);
    this->deadlines.add(task.startBy, task.id);
}

void FairScheduler::requeue(TaskId id, AttemptOutcome end, Instant now)
{
    Ledger &ledger = this->d->ledger;
    const Index index = ledger.findTask(id);
    if (index == noIndex || ledger.tasks[index].target == noIndex)
        return;
    this->d->endAttempt(index, end, now);
    this->d->changed = true;
    if (ledger.tasks[index].cancelled)
        return ledger.remove(index);
    this->d->enqueue(index, true, now);
    if (const GangRecord *gang = ledger.gangOf(ledger.tasks[index]))
        this->d->preemptor.stopRemainingMembers(*gang);
}

void FairScheduler::placementRejected(TaskId id, Instant now)
{
    Ledger &ledger = this->d->ledger;
    const Index index = ledger.findTask(id);
    if (index == noIndex || ledger.tasks[index].target == noIndex)
        return;
    this->d->changed = true;
    const GangRecord *gang = ledger.gangOf(ledger.tasks[index]);
    if (gang == nullptr)
        return this->d->undoPlacement(index, now);
    const Instant decidedAt = ledger.tasks[index].placedAt;
    const std::vector<Index> members = gang->members;
    for (const Index member : members) {
        if (ledger.tasks[member].target != noIndex && ledger.tasks[member].placedAt == decidedAt)
            this->d->undoPlacement(member, now);
    }
}

void FairScheduler::Private::undoPlacement(Index index, Instant now)
{
    const TaskRecord &task = this->ledger.tasks[index];
    if (task.probe)
        this->quarantine.probeInconclusive(task.target, now);
    this->ledger.release(index);
    if (task.cancelled)
        this->ledger.remove(index);
    else
        this->enqueue(index, true, now);
}

bool FairScheduler::cancel(TaskId id, Instant)
{
    Ledger &ledger = this->d->ledger;
    const Index task = ledger.findTask(id);
    if (task == noIndex)
        return false;
    if (ledger.tasks[task].target != noIndex) {
        ledger.tasks[task].cancelled = true;
        return false;
    }
    ledger.dequeue(task);
    ledger.remove(task);
    this->d->changed = true;
    return true;
}

void FairScheduler::usageReported(TaskId id, const Resources &used, Instant at)
{
    Ledger &ledger = this->d->ledger;
    const Index index = ledger.findTask(id);
    if (index == noIndex || ledger.tasks[index].target == noIndex)
        return;
    TaskRecord &task = ledger.tasks[index];
    // Reports lag: an early one describes a previous attempt, or this one while starting up.
    if (at < task.placedAt + usageSettlingTime)
        return;
    TargetRecord &target = ledger.fleet[task.target];
    const auto measured = [&used](ResourceKind kind) {
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(used[kind], 0, 0xffffffffLL));
    };
    target.usedMilliCores -= task.usedMilliCores;
    target.usedMemoryMb -= task.usedMemoryMb;
    task.usedMilliCores = measured(ResourceKind::MilliCores);
    task.usedMemoryMb = measured(ResourceKind::MemoryMb);
    target.usedMilliCores += task.usedMilliCores;
    target.usedMemoryMb += task.usedMemoryMb;
    this->d->preemptor.usageChanged(task.target);
    WorkQueue &queue = ledger.queues[task.queue];
    queue.profile.addUsage(queue.key.need, used);
    const Resources before = queue.charge;
    this->d->correctSize(queue);
    this->d->wakeIfChargeChanged(task.queue, before);
    this->d->changed = true;
}

void FairScheduler::Private::correctSize(WorkQueue &queue)
{
    if (!this->ledger.policy.correctSizes)
        return;
    Resources charge = queue.profile.corrected(queue.key.need);
    const TeamRecord &team = this->ledger.teams[queue.key.team];
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
        // A correction must not make an accepted task too large for every target or for its limit.
        const std::int64_t maxCharge = std::min(
            this->ledger.fleet.largest().amounts[kind],
            team.policy.limit.amounts[kind] / static_cast<std::int64_t>(queue.key.gangSize));
        const std::int64_t declared = queue.key.need.amounts[kind];
        charge.amounts[kind] = std::min(charge.amounts[kind], std::max(maxCharge, declared));
    }
    const std::uint64_t gangSize = queue.key.gangSize;
    if (this->ledger.fleet.capacityFor(charge, gangSize) >= gangSize)
        queue.charge = charge;
}

void FairScheduler::Private::wakeIfChargeChanged(Index index, const Resources &before)
{
    const WorkQueue &queue = this->ledger.queues[index];
    if (queue.charge != before && queue.state != QueueState::Ready)
        this->ledger.makeReady(index, false);
}

void FairScheduler::Private::refuseExpired(Instant now, std::vector<Decision> &out)
{
    while (this->deadlines.isDue(now)) {
        const Index index = this->ledger.findTask(this->deadlines.takeNext());
        if (index == noIndex || this->ledger.tasks[index].target != noIndex
            || this->ledger.tasks[index].startBy > now)
            continue;
        const TaskRecord &task = this->ledger.tasks[index];
        const QueueKey &key = this->ledger.queues[task.queue].key;
        Decision decision;
        decision.kind = DecisionKind::Refuse;
        decision.task = task.id;
        decision.reason = Reason::DeadlinePassed;
        decision.error = ErrorCode::DeadlineExceeded;
        decision.retryAfter = retryAfter(this->ledger, key.team, key.workClass, now);
        ++this->ledger.counts(key.workClass).refused;
        this->log.emit(decision, 0, now, out);
        this->ledger.dequeue(index);
        this->ledger.remove(index);
    }
}

void FairScheduler::Private::runMaintenance(Instant now, std::vector<Decision> &out)
{
    if (now - this->lastMaintenance < maintenanceInterval)
        return;
    this->lastMaintenance = now;
    switch (this->nextMaintenanceStep) {
    case MaintenanceStep::Headroom:
        this->headroom.update(now);
        this->nextMaintenanceStep = MaintenanceStep::Reservations;
        return;
    case MaintenanceStep::Reservations:
        this->reservations.update(now);
        this->nextMaintenanceStep = MaintenanceStep::Preemption;
        return;
    case MaintenanceStep::Preemption:
        this->preemptor.update(now, out);
        this->nextMaintenanceStep = MaintenanceStep::Headroom;
        return;
    }
}

void FairScheduler::decide(Instant now, std::vector<Decision> &out)
{
    this->d->changed = false;
    this->d->ledger.updateRanks();
    this->d->refuseExpired(now, out);
    this->d->runMaintenance(now, out);
    this->d->moreToPlace = this->d->placer.run(now, out);
}

Instant FairScheduler::nextWakeup() const
{
    if (this->d->moreToPlace || this->d->changed)
        return this->d->lastMaintenance; // not in the future: decide() is due at once
    Instant next = std::min(this->d->deadlines.next(), this->d->quarantine.nextProbe());
    next = std::min(next, this->d->preemptor.nextEscalation());
    if (this->d->needsMaintenance())
        next = std::min(next, this->d->lastMaintenance + maintenanceInterval);
    return std::max(next, this->d->lastMaintenance);
}

Explanation FairScheduler::explain(TaskId task) const
{
    return explainTask(this->d->ledger, this->d->log, task);
}

Statistics FairScheduler::statistics() const
{
    Statistics statistics = shareStatistics(this->d->ledger);
    statistics.quarantined = this->d->quarantine.count();
    statistics.headroomTargets = this->d->headroom.targets();
    return statistics;
}

} // namespace guavavalve
