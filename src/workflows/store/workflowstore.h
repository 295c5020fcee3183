#pragma once

#include "core/error.h"
#include "workflows/model/workflow.h"
#include "workflows/store/command.h"
#include "workflows/store/commandoutcome.h"
#include "workflows/store/incarnationtable.h"
#include "workflows/store/knownqueue.h"
#include "workflows/store/targetlosstracker.h"
#include "workflows/store/unknowncancels.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace guavavalve::workflows {

/// The replicated state: workflows, incarnations of targets and their learned speeds, evacuated
/// failure domains, the configuration document and the settings of its queues. Pure: the same
/// batches in the same order give the same state on every replica.
class WorkflowStore
{
public:
    /// Learned speeds that are kept of targets that are not registered at the moment.
    static constexpr std::size_t maxUnregisteredSpeeds = 1000;
    /// A removed queue without work is kept for this long: a workflow that was accepted before may
    /// still be on its way into the store.
    static constexpr std::int64_t removedQueueRetentionMs = 60000;

    CommandOutcomes apply(const CommandBatch &batch);

    const std::map<WorkflowId, Workflow> &workflows() const { return this->workflowTable; }
    /// Workflows that are not over, or that still have tasks placed.
    const std::set<WorkflowId> &live() const { return this->liveIds; }
    const IncarnationTable &incarnations() const { return this->incarnationTable; }
    /// Resources that the placed tasks of each client account occupy.
    const std::map<std::string, Resources> &placedByAccount() const { return this->used; }
    /// Failure domains whose targets receive no new work.
    const std::set<std::string> &evacuatedDomains() const { return this->evacuated; }
    /// Crashes and losses of targets, by the tasks that ran on them.
    const TargetLossTracker &losses() const { return this->lossTracker; }
    /// Learned speeds of targets, by their names. At most twice as many as there are registered
    /// targets when they are stored, and maxUnregisteredSpeeds more.
    const std::map<std::string, TargetSpeed> &speeds() const { return this->learnedSpeeds; }
    /// The last recorded settings of each queue, also of removed ones.
    const std::map<std::string, KnownQueue> &queues() const { return this->knownQueues; }
    /// The version of the document whose queues were recorded last.
    std::int64_t queuesVersion() const { return this->recordedVersion; }
    /// Cancels of workflows that were not stored.
    const UnknownCancels &unknownCancels() const { return this->cancelsOfUnknown; }
    std::int64_t documentVersion() const { return this->version; }
    const std::string &document() const { return this->text; }

    const Workflow *find(WorkflowId id) const;
    const IncarnationRecord *find(IncarnationId number) const;
    /// The newest incarnation of the target called \a name, or None.
    IncarnationId newestIncarnation(const std::string &name) const;

    /// True if a later incarnation of the same target is stored.
    bool isSuperseded(IncarnationId number) const { return this->superseded.count(number) != 0; }

    /// True if new work may be placed on the incarnation: it is not draining, and its failure
    /// domain is not evacuated.
    bool takesWork(const IncarnationRecord &incarnation) const;

    /// The newest stored incarnation of the target if it equals \a identity, and its draining state
    /// equals \a isDraining; otherwise None.
    IncarnationId matchingNewest(const TargetIdentity &identity, bool isDraining) const;

    std::string snapshot() const;
    /// Reads snapshots of the current format and of all earlier ones.
    /// \errors Corrupt; the store is then unchanged.
    Result<void> restore(std::string_view snapshot);

private:
    void findSuperseded();
    CommandOutcome applyCommand(const AcceptWorkflow &command);
    CommandOutcome applyCommand(const CancelWorkflow &command);
    CommandOutcome applyCommand(const PlaceRuns &command);
    CommandOutcome applyCommand(const EndRuns &command);
    CommandOutcome applyCommand(const RegisterIncarnation &command);
    CommandOutcome applyCommand(const ForgetIncarnation &command);
    CommandOutcome applyCommand(const SetIncarnationDraining &command);
    CommandOutcome applyCommand(const EvacuateDomain &command);
    CommandOutcome applyCommand(const StoreDocument &command);
    CommandOutcome applyCommand(const ForgetWorkflows &command);
    CommandOutcome applyCommand(const MarkIncarnationCrashed &command);
    CommandOutcome applyCommand(const MarkIncarnationAlive &command);
    CommandOutcome applyCommand(const ResizeIncarnation &command);
    CommandOutcome applyCommand(const RecordSpeeds &command);
    CommandOutcome applyCommand(const RecordQueues &command);
    CommandOutcome applyCommand(const CancelUnknown &command);

    bool fits(const Workflow &workflow, const PlaceRuns &command) const;
    bool hasRoom(const Workflow &workflow, const PlaceRuns &command) const;
    bool endRun(const RunEnd &end, std::int64_t atMs);
    void release(Workflow &workflow, const TaskAddress &address);
    void succeed(Workflow &workflow, const TaskAddress &address);
    void fail(Workflow &workflow, const RunEnd &end);
    void countLoss(const StepSpec &spec, const RunEnd &end, IncarnationId incarnation);
    void giveUp(const TaskAddress &address, std::int64_t atMs);
    void finishIfOver(Workflow &workflow, std::int64_t atMs);

    template<typename Archive>
    void serialize(Archive &archive, unsigned format);

    std::map<WorkflowId, Workflow> workflowTable;
    std::set<WorkflowId> liveIds;
    IncarnationTable incarnationTable;
    std::map<std::string, IncarnationId> newestByName; ///< by target name
    std::set<IncarnationId> superseded; ///< derived: the incarnations that are not the newest ones
    std::uint32_t lastIncarnation = 0;
    std::map<std::string, Resources> used;
    std::int64_t version = 0;
    std::string text;
    std::set<std::string> evacuated; ///< failure domains
    TargetLossTracker lossTracker;
    /// Sequence number of the report that last changed the capacity.
    std::map<IncarnationId, std::uint64_t> resizedBy;
    std::map<std::string, TargetSpeed> learnedSpeeds; ///< by target name
    UnknownCancels cancelsOfUnknown;
    std::map<std::string, KnownQueue> knownQueues;
    std::int64_t recordedVersion =
        0; ///< of the document with the known queues that are not removed
};

} // namespace guavavalve::workflows
