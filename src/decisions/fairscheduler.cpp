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

constexpr std::size_t decisionsKept = 16384;
/// How often one of the three parts of the upkeep is done, in turn: all at once would make one
/// decision in many a long one.
constexpr Microseconds upkeepEvery = std::chrono::milliseconds(20);
/// Usage measured sooner than this after a start is of a task that is still starting up.
constexpr Microseconds usageSettles = std::chrono::seconds(1);

} // namespace

struct FairScheduler::Parts
{
    enum class UpkeepPart : std::uint8_t { Headroom, Reservations, Room };

    Ledger ledger;
    DecisionLog log{decisionsKept};
    Reservations reservations{ledger};
    Quarantine quarantine{ledger};
    Headroom headroom{ledger};
    Preemptor preemptor{ledger, log};
    Placer placer{ledger, reservations, quarantine, log};
    Deadlines deadlines;
    Instant lastUpkeep{};
    UpkeepPart upkeepPart = UpkeepPart::Headroom;
    bool moreToPlace = false;
    bool changed = false; ///< something was told since the last decide()

    bool upkeepWanted() const
    {
        return !this->ledger.blocked.empty() || this->headroom.targets() > 0
            || this->preemptor.hasWork();
    }

    void endAttempt(Index task, AttemptOutcome end, Instant now);
    void correctSize(WorkQueue &queue);
    void wakeCorrected(Index queue, const Resources &before);
    void refuseLate(Instant now, std::vector<Decision> &out);
    void upkeep(Instant now, std::vector<Decision> &out);
    void enqueue(Index task, bool front, Instant now);
    void undoPlacement(Index task, Instant now);
};

FairScheduler::FairScheduler()
    : parts(std::make_unique<Parts>())
{}

FairScheduler::~FairScheduler() = default;

void FairScheduler::applyPolicy(const Policy &policy, Instant)
{
    this->parts->ledger.applyPolicy(policy);
    this->parts->preemptor.limitsChanged();
    this->parts->changed = true;
}

void FairScheduler::targetChanged(const TargetInfo &info, Instant)
{
    Ledger &ledger = this->parts->ledger;
    const Index index = ledger.fleet.indexOf(info.id);
    TargetRecord &target = ledger.fleet[index];
    const bool restarted = target.info.incarnation != info.incarnation;
    ledger.moveTarget(index, info.failureDomain, info.rack);
    target.info = info;
    target.known = true;
    // A new process may have mended what made the old one fail.
    if (restarted)
        this->parts->quarantine.clearRecord(index);
    ledger.fleet.refresh(index);
    ledger.markFreed(index);
    this->parts->changed = true;
}

void FairScheduler::targetLost(TargetId id, Instant)
{
    Ledger &ledger = this->parts->ledger;
    const Index index = ledger.fleet.find(id);
    if (index == noIndex)
        return;
    ledger.fleet[index].known = false;
    this->parts->quarantine.clearRecord(index);
    ledger.fleet.refresh(index);
    this->parts->changed = true;
}

Result<void> FairScheduler::submit(const TaskRequest &request, Instant now)
{
    Ledger &ledger = this->parts->ledger;
    Result<void> admitted = admit(ledger, request, now);
    if (admitted.has_error()) {
        ++ledger.counts(request.workClass).refused;
        return admitted;
    }
    const Index task = ledger.add(request, now);
    if (request.workClass == WorkClass::Prompt)
        this->parts->headroom.promptArrived(ledger.queues[ledger.tasks[task].queue].charge, now);
    this->parts->enqueue(task, false, now);
    this->parts->changed = true;
    return boost::outcome_v2::success();
}

void FairScheduler::restorePlaced(const TaskRequest &request, const Resources &charge,
                                  TargetId target, Instant now)
{
    Ledger &ledger = this->parts->ledger;
    if (ledger.findTask(request.id) != noIndex)
        return;
    const Index task = ledger.add(request, now);
    ledger.place(task, ledger.fleet.indexOf(target), charge, now);
}

void FairScheduler::taskEnded(TaskId id, AttemptOutcome end, Instant now)
{
    Ledger &ledger = this->parts->ledger;
    const Index task = ledger.findTask(id);
    if (task == noIndex)
        return;
    if (ledger.tasks[task].target == noIndex)
        ledger.dequeue(task);
    else
        this->parts->endAttempt(task, end, now);
    ledger.remove(task);
    this->parts->changed = true;
}

void FairScheduler::Parts::endAttempt(Index index, AttemptOutcome end, Instant now)
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

void FairScheduler::Parts::enqueue(Index index, bool front, Instant now)
{
    const TaskRecord &task = this->ledger.tasks[index];
    this->ledger.enqueue(index, front, now);
    this->deadlines.add(task.startBy, task.id);
}

void FairScheduler::requeue(TaskId id, AttemptOutcome end, Instant now)
{
    Ledger &ledger = this->parts->ledger;
    const Index index = ledger.findTask(id);
    if (index == noIndex || ledger.tasks[index].target == noIndex)
        return;
    this->parts->endAttempt(index, end, now);
    this->parts->changed = true;
    if (ledger.tasks[index].cancelled)
        return ledger.remove(index);
    this->parts->enqueue(index, true, now);
    if (const GangRecord *gang = ledger.gangOf(ledger.tasks[index]))
        this->parts->preemptor.stopRemainingMembers(*gang);
}

void FairScheduler::placementRejected(TaskId id, Instant now)
{
    Ledger &ledger = this->parts->ledger;
    const Index index = ledger.findTask(id);
    if (index == noIndex || ledger.tasks[index].target == noIndex)
        return;
    this->parts->changed = true;
    const GangRecord *gang = ledger.gangOf(ledger.tasks[index]);
    if (gang == nullptr)
        return this->parts->undoPlacement(index, now);
    const Instant decidedAt = ledger.tasks[index].placedAt;
    const std::vector<Index> members = gang->members;
    for (const Index member : members) {
        if (ledger.tasks[member].target != noIndex && ledger.tasks[member].placedAt == decidedAt)
            this->parts->undoPlacement(member, now);
    }
}

void FairScheduler::Parts::undoPlacement(Index index, Instant now)
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
    Ledger &ledger = this->parts->ledger;
    const Index task = ledger.findTask(id);
    if (task == noIndex)
        return false;
    if (ledger.tasks[task].target != noIndex) {
        ledger.tasks[task].cancelled = true;
        return false;
    }
    ledger.dequeue(task);
    ledger.remove(task);
    this->parts->changed = true;
    return true;
}

void FairScheduler::usageReported(TaskId id, const Resources &used, Instant at)
{
    Ledger &ledger = this->parts->ledger;
    const Index index = ledger.findTask(id);
    if (index == noIndex || ledger.tasks[index].target == noIndex)
        return;
    TaskRecord &task = ledger.tasks[index];
    // Reports lag: one from before this attempt had settled tells of another, or of its start.
    if (at < task.placedAt + usageSettles)
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
    this->parts->preemptor.usageChanged(task.target);
    WorkQueue &queue = ledger.queues[task.queue];
    queue.profile.addUsage(queue.key.need, used);
    const Resources before = queue.charge;
    this->parts->correctSize(queue);
    this->parts->wakeCorrected(task.queue, before);
    this->parts->changed = true;
}

void FairScheduler::Parts::correctSize(WorkQueue &queue)
{
    if (!this->ledger.policy.correctSizes)
        return;
    Resources charge = queue.profile.corrected(queue.key.need);
    const TeamRecord &team = this->ledger.teams[queue.key.team];
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
        // A correction must not make a task that was accepted one that never fits.
        const std::int64_t most = std::min(this->ledger.fleet.largest().amounts[kind],
                                           team.policy.limit.amounts[kind]
                                               / static_cast<std::int64_t>(queue.key.gangSize));
        const std::int64_t declared = queue.key.need.amounts[kind];
        charge.amounts[kind] = std::min(charge.amounts[kind], std::max(most, declared));
    }
    const std::uint64_t together = queue.key.gangSize;
    if (this->ledger.fleet.capacityFor(charge, together) >= together)
        queue.charge = charge;
}

void FairScheduler::Parts::wakeCorrected(Index index, const Resources &before)
{
    const WorkQueue &queue = this->ledger.queues[index];
    if (queue.charge != before && queue.state != QueueState::Ready)
        this->ledger.makeReady(index, false);
}

void FairScheduler::Parts::refuseLate(Instant now, std::vector<Decision> &out)
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

void FairScheduler::Parts::upkeep(Instant now, std::vector<Decision> &out)
{
    if (now - this->lastUpkeep < upkeepEvery)
        return;
    this->lastUpkeep = now;
    switch (this->upkeepPart) {
    case UpkeepPart::Headroom:
        this->headroom.update(now);
        this->upkeepPart = UpkeepPart::Reservations;
        return;
    case UpkeepPart::Reservations:
        this->reservations.update(now);
        this->upkeepPart = UpkeepPart::Room;
        return;
    case UpkeepPart::Room:
        this->preemptor.update(now, out);
        this->upkeepPart = UpkeepPart::Headroom;
        return;
    }
}

void FairScheduler::decide(Instant now, std::vector<Decision> &out)
{
    Parts &all = *this->parts;
    all.changed = false;
    all.ledger.updateRanks();
    all.refuseLate(now, out);
    all.upkeep(now, out);
    all.moreToPlace = all.placer.run(now, out);
}

Instant FairScheduler::nextWakeup() const
{
    const Parts &all = *this->parts;
    if (all.moreToPlace || all.changed)
        return all.lastUpkeep;
    Instant next = std::min(all.deadlines.next(), all.quarantine.nextProbe());
    next = std::min(next, all.preemptor.nextEscalation());
    if (all.upkeepWanted())
        next = std::min(next, all.lastUpkeep + upkeepEvery);
    return std::max(next, all.lastUpkeep);
}

Explanation FairScheduler::explain(TaskId task) const
{
    return explainTask(this->parts->ledger, this->parts->log, task);
}

Statistics FairScheduler::statistics() const
{
    Statistics statistics = shareStatistics(this->parts->ledger);
    statistics.quarantined = this->parts->quarantine.count();
    statistics.headroomTargets = this->parts->headroom.targets();
    return statistics;
}

} // namespace guavavalve
