#include "workflows/store/workflowstore.h"

#include "core/codec.h"

#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavavalve::workflows {

namespace {

/// Precedes the one-byte format number. Snapshots of the first format have no marker: they begin
/// with a count, and no count has the highest bit set in so many bytes.
constexpr std::string_view formatMark = "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff";
constexpr unsigned firstFormat = 1;
constexpr unsigned formatWithEvacuations = 2;
constexpr unsigned formatWithLosses = 3; ///< and changes of capacity
constexpr unsigned formatWithSpeeds = 4;
constexpr unsigned formatWithQueues = 5;
constexpr unsigned formatWithUnknownCancels = 6;
constexpr unsigned newestFormat = formatWithUnknownCancels;

unsigned formatOf(std::string_view snapshot)
{
    const bool isMarked =
        snapshot.size() > formatMark.size() && snapshot.substr(0, formatMark.size()) == formatMark;
    return isMarked ? static_cast<unsigned char>(snapshot[formatMark.size()]) : firstFormat;
}

Workflow::Occurrence emptyOccurrence(const WorkflowSpec &spec)
{
    Workflow::Occurrence occurrence(spec.steps.size());
    for (std::size_t i = 0; i < spec.steps.size(); ++i)
        occurrence[i].tasks.resize(spec.steps[i].tasks);
    return occurrence;
}

/// Discards everything of a finished workflow that its caller can no longer ask for.
///
/// Guards against keeping memory that is not read any more: a payload of up to 4 KB and 100 bytes
/// per task, for three minutes.
void discardDetails(Workflow &workflow)
{
    workflow.spec.payload = {};
    workflow.spec.steps = {};
    workflow.occurrences = {};
}

} // namespace

template<typename Archive>
void WorkflowStore::serialize(Archive &archive, unsigned format)
{
    archive(this->workflowTable, this->liveIds, this->incarnationTable, this->newestByName,
            this->lastIncarnation, this->used, this->version, this->text);
    if (format >= formatWithEvacuations)
        archive(this->evacuated);
    if (format >= formatWithLosses)
        archive(this->lossTracker, this->resizedBy);
    if (format >= formatWithSpeeds)
        archive(this->learnedSpeeds);
    if (format >= formatWithQueues)
        archive(this->knownQueues, this->recordedVersion);
    if (format >= formatWithUnknownCancels)
        archive(this->cancelsOfUnknown);
}

void WorkflowStore::findSuperseded()
{
    for (const auto &[number, record] : this->incarnationTable) {
        if (this->newestIncarnation(record.identity.name) != number)
            this->superseded.insert(number);
    }
}

CommandOutcomes WorkflowStore::apply(const CommandBatch &batch)
{
    CommandOutcomes outcomes;
    outcomes.reserve(batch.size());
    for (const Command &command : batch) {
        outcomes.push_back(
            std::visit([this](const auto &one) { return this->applyCommand(one); }, command));
    }
    return outcomes;
}

const Workflow *WorkflowStore::find(WorkflowId id) const
{
    const auto found = this->workflowTable.find(id);
    return found == this->workflowTable.end() ? nullptr : &found->second;
}

const IncarnationRecord *WorkflowStore::find(IncarnationId number) const
{
    const auto found = this->incarnationTable.find(number);
    return found == this->incarnationTable.end() ? nullptr : &found->second;
}

bool WorkflowStore::takesWork(const IncarnationRecord &incarnation) const
{
    return !incarnation.isDraining
        && this->evacuated.count(incarnation.identity.failureDomain) == 0;
}

IncarnationId WorkflowStore::newestIncarnation(const std::string &name) const
{
    const auto found = this->newestByName.find(name);
    return found == this->newestByName.end() ? IncarnationId::None : found->second;
}

IncarnationId WorkflowStore::matchingNewest(const TargetIdentity &identity, bool isDraining) const
{
    const IncarnationId newest = this->newestIncarnation(identity.name);
    const IncarnationRecord *incarnation = this->find(newest);
    const bool matches = incarnation != nullptr && incarnation->isDraining == isDraining
        && incarnation->identity == identity;
    return matches ? newest : IncarnationId::None;
}

CommandOutcome WorkflowStore::applyCommand(const AcceptWorkflow &command)
{
    if (this->workflowTable.count(command.spec.id) != 0)
        return CommandOutcome::Joined;
    Workflow workflow;
    workflow.spec = command.spec;
    workflow.occurrences.assign(command.spec.occurrences(), emptyOccurrence(command.spec));
    this->cancelsOfUnknown.remove({command.spec.account, command.spec.id});
    workflow.unfinishedSteps =
        command.spec.occurrences() * static_cast<std::uint32_t>(command.spec.steps.size());
    this->liveIds.insert(command.spec.id);
    this->workflowTable.emplace(command.spec.id, std::move(workflow));
    return CommandOutcome::Applied;
}

CommandOutcome WorkflowStore::applyCommand(const CancelWorkflow &command)
{
    const auto found = this->workflowTable.find(command.id);
    if (found == this->workflowTable.end())
        return CommandOutcome::Rejected;
    if (found->second.isOver())
        return CommandOutcome::Unchanged;
    found->second.isCancelled = true;
    this->finishIfOver(found->second, command.atMs);
    return CommandOutcome::Applied;
}

CommandOutcome WorkflowStore::applyCommand(const CancelUnknown &command)
{
    const Workflow *stored = this->find(command.id);
    if (stored == nullptr) {
        this->cancelsOfUnknown.add({command.account, command.id}, command.queue, command.atMs);
        return CommandOutcome::Rejected;
    }
    const bool isMeant =
        stored->spec.queue == command.queue && stored->spec.account == command.account;
    return isMeant ? this->applyCommand(CancelWorkflow{command.id, command.atMs})
                   : CommandOutcome::Rejected;
}

/// Checks a placement again when it is applied. A placement that an earlier controller decided on
/// before a target began to drain, its failure domain was evacuated, its capacity shrank or the
/// task crashed too many targets is rejected.
bool WorkflowStore::fits(const Workflow &workflow, const PlaceRuns &command) const
{
    const StepAddress &step = command.step;
    const bool isKnown =
        step.occurrence < workflow.occurrences.size() && step.step < workflow.spec.steps.size();
    if (!isKnown || workflow.isOver() || !workflow.isReady(step))
        return false;
    const StepProgress &progress = workflow.step(step);
    return std::all_of(command.placements.begin(), command.placements.end(),
                       [&](const Placement &placement) {
                           const IncarnationRecord *incarnation = this->find(placement.incarnation);
                           return placement.index < progress.tasks.size()
                               && progress.tasks[placement.index].phase == TaskPhase::Waiting
                               && progress.tasks[placement.index].run < command.run
                               && this->lossTracker.mayStart({step, placement.index})
                               && incarnation != nullptr && this->takesWork(*incarnation);
                       })
        && this->hasRoom(workflow, command);
}

/// True if the new placements fit beside the existing ones, even if the capacity has shrunk since
/// they were decided on.
bool WorkflowStore::hasRoom(const Workflow &workflow, const PlaceRuns &command) const
{
    const Resources need = workflow.spec.steps[command.step.step].reserved();
    std::map<IncarnationId, Resources> taken;
    for (const Placement &placement : command.placements)
        taken[placement.incarnation] += need;
    return std::all_of(taken.begin(), taken.end(), [&](const auto &one) {
        const IncarnationRecord &incarnation = *this->find(one.first);
        return one.second.fitsInto(incarnation.identity.capacity - incarnation.used);
    });
}

CommandOutcome WorkflowStore::applyCommand(const PlaceRuns &command)
{
    const auto found = this->workflowTable.find(command.step.workflow);
    if (found == this->workflowTable.end() || !this->fits(found->second, command))
        return CommandOutcome::Rejected;
    Workflow &workflow = found->second;
    StepProgress &progress = workflow.step(command.step);
    const Resources room = workflow.spec.steps[command.step.step].reserved();
    for (const Placement &placement : command.placements) {
        TaskProgress &task = progress.tasks[placement.index];
        task.phase = TaskPhase::Placed;
        task.run = command.run;
        task.incarnation = placement.incarnation;
        IncarnationRecord &incarnation = this->incarnationTable[placement.incarnation];
        incarnation.placed.insert({command.step, placement.index});
        incarnation.used += room;
        this->used[workflow.spec.account] += workflow.spec.steps[command.step.step].need;
        ++progress.placed;
        ++workflow.placed;
    }
    workflow.hasStarted = true;
    return CommandOutcome::Applied;
}

CommandOutcome WorkflowStore::applyCommand(const EndRuns &command)
{
    bool hasChanged = false;
    for (const RunEnd &end : command.ends)
        hasChanged |= this->endRun(end, command.atMs);
    return hasChanged ? CommandOutcome::Applied : CommandOutcome::Unchanged;
}

bool WorkflowStore::endRun(const RunEnd &end, std::int64_t atMs)
{
    const auto found = this->workflowTable.find(end.task.step.workflow);
    if (found == this->workflowTable.end())
        return false;
    Workflow &workflow = found->second;
    const TaskProgress *known = workflow.task(end.task);
    if (known == nullptr || known->phase != TaskPhase::Placed || known->run != end.run)
        return false;
    StepProgress &progress = workflow.step(end.task.step);
    if (!end.checkpoint.empty())
        progress.tasks[end.task.index].checkpoint = end.checkpoint;
    const IncarnationId incarnation = known->incarnation;
    this->release(workflow, end.task);
    if (end.outcome == RunOutcome::Succeeded)
        this->succeed(workflow, end.task);
    else if (end.outcome == RunOutcome::Failed)
        this->fail(workflow, end);
    else if (end.outcome == RunOutcome::Lost || end.outcome == RunOutcome::LostEarly)
        this->countLoss(workflow.spec.steps[end.task.step.step], end, incarnation);
    this->finishIfOver(workflow, atMs);
    return true;
}

/// A long-running task that was lost some time after its start has proved that it can run: over its
/// lifetime, many of its targets crash.
void WorkflowStore::countLoss(const StepSpec &spec, const RunEnd &end, IncarnationId incarnation)
{
    const bool isEarly = end.outcome == RunOutcome::LostEarly;
    if (spec.longRunning && !isEarly)
        this->lossTracker.forget(end.task);
    else
        this->lossTracker.recordLoss(incarnation, end.task, isEarly);
}

/// Releases the resources of a run at its target and in the total of its client account. The task
/// waits for its next placement.
void WorkflowStore::release(Workflow &workflow, const TaskAddress &address)
{
    const StepSpec &spec = workflow.spec.steps[address.step.step];
    StepProgress &progress = workflow.step(address.step);
    TaskProgress &task = progress.tasks[address.index];
    const auto incarnation = this->incarnationTable.find(task.incarnation);
    if (incarnation != this->incarnationTable.end()
        && incarnation->second.placed.erase(address) != 0)
        incarnation->second.used -= spec.reserved();
    this->used[workflow.spec.account] -= spec.need;
    task.phase = TaskPhase::Waiting;
    --progress.placed;
    --workflow.placed;
}

/// A long-running task that ended is started again. The members of a gang succeed together: the
/// first success that is reported counts for the whole run.
///
/// Guards against a gang that stays incomplete forever: a member whose target left just before the
/// end counts as lost and waits, and would wait for members that never run again.
void WorkflowStore::succeed(Workflow &workflow, const TaskAddress &address)
{
    const StepSpec &spec = workflow.spec.steps[address.step.step];
    if (spec.longRunning)
        return;
    StepProgress &progress = workflow.step(address.step);
    const RunNumber run = progress.tasks[address.index].run;
    for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
        TaskProgress &task = progress.tasks[i];
        const bool isMember = spec.gang && task.run == run && task.phase != TaskPhase::Succeeded;
        if (i != address.index && !isMember)
            continue;
        if (task.phase == TaskPhase::Placed)
            this->release(workflow, {address.step, static_cast<std::uint16_t>(i)});
        task.phase = TaskPhase::Succeeded;
        this->lossTracker.forget({address.step, static_cast<std::uint16_t>(i)});
        ++progress.succeeded;
    }
    if (progress.isDone())
        --workflow.unfinishedSteps;
}

/// A gang counts one failure for each run in which any member failed.
void WorkflowStore::fail(Workflow &workflow, const RunEnd &end)
{
    const StepSpec &spec = workflow.spec.steps[end.task.step.step];
    StepProgress &progress = workflow.step(end.task.step);
    TaskProgress &task = progress.tasks[end.task.index];
    if (spec.longRunning)
        return;
    if (spec.gang) {
        if (progress.gangFailedRun != end.run) {
            progress.gangFailedRun = end.run;
            ++progress.gangFailures;
        }
        workflow.hasFailed |= progress.gangFailures >= end.maxFailures;
        return;
    }
    ++task.failures;
    if (task.failures < end.maxFailures)
        return;
    task.phase = TaskPhase::Failed;
    workflow.hasFailed = true;
}

void WorkflowStore::finishIfOver(Workflow &workflow, std::int64_t atMs)
{
    if (!workflow.isOver())
        return;
    if (workflow.endedAtMs == 0)
        workflow.endedAtMs = atMs;
    this->lossTracker.forget(workflow.spec.id);
    if (workflow.placed > 0)
        return;
    this->liveIds.erase(workflow.spec.id);
    discardDetails(workflow);
}

CommandOutcome WorkflowStore::applyCommand(const RegisterIncarnation &command)
{
    const IncarnationId known = this->newestIncarnation(command.identity.name);
    if (const IncarnationRecord *incarnation = this->find(known)) {
        if (incarnation->identity.startedAtMs >= command.identity.startedAtMs)
            return CommandOutcome::Unchanged;
    }
    const auto number = static_cast<IncarnationId>(++this->lastIncarnation);
    IncarnationRecord record;
    record.identity = command.identity;
    this->incarnationTable.emplace(number, std::move(record));
    this->newestByName[command.identity.name] = number;
    if (known != IncarnationId::None)
        this->superseded.insert(known);
    return CommandOutcome::Applied;
}

CommandOutcome WorkflowStore::applyCommand(const ForgetIncarnation &command)
{
    const auto found = this->incarnationTable.find(command.incarnation);
    if (found == this->incarnationTable.end())
        return CommandOutcome::Unchanged;
    if (!found->second.placed.empty())
        return CommandOutcome::Rejected;
    this->lossTracker.discardLosses(command.incarnation);
    const auto name = this->newestByName.find(found->second.identity.name);
    if (name != this->newestByName.end() && name->second == command.incarnation)
        this->newestByName.erase(name);
    this->resizedBy.erase(command.incarnation);
    this->superseded.erase(command.incarnation);
    this->incarnationTable.erase(found);
    return CommandOutcome::Applied;
}

/// A draining target ends soon in any case, so its end does not count as a crash.
CommandOutcome WorkflowStore::applyCommand(const MarkIncarnationCrashed &command)
{
    if (!this->lossTracker.hasOpenLosses(command.incarnation))
        return CommandOutcome::Unchanged;
    const IncarnationRecord *incarnation = this->find(command.incarnation);
    if (incarnation != nullptr && incarnation->isDraining) {
        this->lossTracker.discardLosses(command.incarnation);
        return CommandOutcome::Applied;
    }
    for (const TaskAddress &task : this->lossTracker.recordCrash(command.incarnation))
        this->giveUp(task, command.atMs);
    return CommandOutcome::Applied;
}

/// The task crashes the targets that it is started on: its workflow has failed.
void WorkflowStore::giveUp(const TaskAddress &address, std::int64_t atMs)
{
    const auto found = this->workflowTable.find(address.step.workflow);
    if (found == this->workflowTable.end() || found->second.isOver())
        return;
    Workflow &workflow = found->second;
    TaskProgress &task = workflow.step(address.step).tasks[address.index];
    if (task.phase == TaskPhase::Waiting)
        task.phase = TaskPhase::Failed;
    workflow.hasFailed = true;
    this->finishIfOver(workflow, atMs);
}

CommandOutcome WorkflowStore::applyCommand(const MarkIncarnationAlive &command)
{
    if (!this->lossTracker.hasOpenLosses(command.incarnation))
        return CommandOutcome::Unchanged;
    this->lossTracker.discardLosses(command.incarnation);
    return CommandOutcome::Applied;
}

CommandOutcome WorkflowStore::applyCommand(const ResizeIncarnation &command)
{
    const auto found = this->incarnationTable.find(command.incarnation);
    if (found == this->incarnationTable.end()
        || found->second.identity.capacity == command.capacity)
        return CommandOutcome::Unchanged;
    std::uint64_t &newestReport = this->resizedBy[command.incarnation];
    if (command.sequence < newestReport)
        return CommandOutcome::Unchanged;
    newestReport = command.sequence;
    found->second.identity.capacity = command.capacity;
    return CommandOutcome::Applied;
}

CommandOutcome WorkflowStore::applyCommand(const RecordSpeeds &command)
{
    for (const TargetSpeed &speed : command.speeds) {
        const bool isRegistered = this->newestByName.count(speed.name) != 0;
        const std::size_t limit =
            2 * this->newestByName.size() + (isRegistered ? maxUnregisteredSpeeds : 0);
        const auto known = this->learnedSpeeds.find(speed.name);
        if (known != this->learnedSpeeds.end())
            known->second = speed;
        else if (this->learnedSpeeds.size() < limit)
            this->learnedSpeeds.emplace(speed.name, speed);
    }
    if (command.forgetBeforeMs == 0)
        return CommandOutcome::Applied;
    for (auto speed = this->learnedSpeeds.begin(); speed != this->learnedSpeeds.end();) {
        const bool isKept = this->newestByName.count(speed->first) != 0
            || speed->second.learnedAtMs >= command.forgetBeforeMs;
        speed = isKept ? std::next(speed) : this->learnedSpeeds.erase(speed);
    }
    return CommandOutcome::Applied;
}

/// Guards against accepted work without settings: nothing else tells, once its queue has been
/// removed, which targets run it, how urgent it is, and how often it may fail.
CommandOutcome WorkflowStore::applyCommand(const RecordQueues &command)
{
    if (command.version <= this->recordedVersion)
        return CommandOutcome::Unchanged;
    this->recordedVersion = command.version;
    for (const auto &[name, settings] : command.queues)
        this->knownQueues[name] = {settings, 0};
    std::set<std::string> inUse;
    for (const WorkflowId id : this->liveIds)
        inUse.insert(this->workflowTable.at(id).spec.queue);
    for (auto known = this->knownQueues.begin(); known != this->knownQueues.end();) {
        KnownQueue &queue = known->second;
        const bool isRemoved = command.queues.count(known->first) == 0;
        if (isRemoved && queue.removedAtMs == 0)
            queue.removedAtMs = command.atMs;
        const bool isForgotten = isRemoved && inUse.count(known->first) == 0
            && command.atMs > queue.removedAtMs + removedQueueRetentionMs;
        known = isForgotten ? this->knownQueues.erase(known) : std::next(known);
    }
    return CommandOutcome::Applied;
}

CommandOutcome WorkflowStore::applyCommand(const SetIncarnationDraining &command)
{
    const auto found = this->incarnationTable.find(command.incarnation);
    if (found == this->incarnationTable.end() || found->second.isDraining == command.isDraining)
        return CommandOutcome::Unchanged;
    found->second.isDraining = command.isDraining;
    return CommandOutcome::Applied;
}

CommandOutcome WorkflowStore::applyCommand(const EvacuateDomain &command)
{
    const bool hasChanged = command.isEvacuated
        ? this->evacuated.insert(command.failureDomain).second
        : this->evacuated.erase(command.failureDomain) != 0;
    return hasChanged ? CommandOutcome::Applied : CommandOutcome::Unchanged;
}

CommandOutcome WorkflowStore::applyCommand(const StoreDocument &command)
{
    if (command.version <= this->version)
        return CommandOutcome::Unchanged;
    this->version = command.version;
    this->text = command.text;
    return CommandOutcome::Applied;
}

CommandOutcome WorkflowStore::applyCommand(const ForgetWorkflows &command)
{
    for (const WorkflowId id : command.ids) {
        const auto found = this->workflowTable.find(id);
        if (found != this->workflowTable.end() && found->second.isOver()
            && found->second.placed == 0)
            this->workflowTable.erase(found);
    }
    return CommandOutcome::Applied;
}

std::string WorkflowStore::snapshot() const
{
    std::string bytes;
    bytes.append(formatMark);
    // Replicas of earlier versions can read what has no newer parts.
    const unsigned formatWithoutQueues =
        this->learnedSpeeds.empty() ? formatWithLosses : formatWithSpeeds;
    const unsigned formatWithoutCancels =
        this->recordedVersion == 0 ? formatWithoutQueues : formatWithQueues;
    const unsigned format =
        this->cancelsOfUnknown.size() == 0 ? formatWithoutCancels : newestFormat;
    bytes.push_back(static_cast<char>(format));
    MemoryOutputArchive archive(bytes);
    // Serialising for output does not modify the store.
    const_cast<WorkflowStore *>(this)->serialize(archive, format);
    return bytes;
}

Result<void> WorkflowStore::restore(std::string_view snapshot)
{
    try {
        WorkflowStore read;
        const unsigned format = formatOf(snapshot);
        if (format > newestFormat)
            return failure(ErrorCode::Corrupt,
                           "the snapshot has a newer format than this version supports");
        const std::size_t head = format == firstFormat ? 0 : formatMark.size() + 1;
        MemoryInputArchive archive(snapshot.substr(head));
        read.serialize(archive, format);
        if (archive.bytesLeft() != 0)
            return failure(ErrorCode::Corrupt, "the snapshot has unexpected bytes at its end");
        read.findSuperseded();
        *this = std::move(read);
        return boost::outcome_v2::success();
    } catch (const std::exception &problem) {
        return failure(ErrorCode::Corrupt, problem.what());
    }
}

} // namespace guavavalve::workflows
