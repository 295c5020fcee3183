#pragma once

#include "core/error.h"
#include "workflows/command.h"
#include "workflows/commandoutcome.h"
#include "workflows/incarnationtable.h"
#include "workflows/targetlosstracker.h"
#include "workflows/workflow.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace guavavalve::workflows {

/// The replicated state of workflows, targets' lives, evacuated failure domains and the
/// configuration document. Pure: the same batches in the same order give the same book on every
/// replica.
class WorkflowStore
{
public:
    CommandOutcomes apply(const CommandBatch &batch);

    const std::map<WorkflowId, Workflow> &workflows() const { return this->all; }
    /// Those that are not over, or have tasks placed.
    const std::set<WorkflowId> &live() const { return this->liveIds; }
    const IncarnationTable &incarnations() const { return this->lifeTable; }
    /// What each client account has placed.
    const std::map<std::string, Resources> &placedByAccount() const { return this->used; }
    /// Failure domains whose targets are given nothing new.
    const std::set<std::string> &evacuatedDomains() const { return this->evacuated; }
    /// Targets that were lost with tasks on them.
    const TargetLossTracker &losses() const { return this->lossTracker; }
    std::int64_t documentVersion() const { return this->version; }
    const std::string &document() const { return this->text; }

    const Workflow *find(WorkflowId id) const;
    const IncarnationRecord *find(IncarnationId number) const;
    /// The newest life of the target called \a name, or None.
    IncarnationId newestIncarnation(const std::string &name) const;

    /// New work may be placed there: the target does not drain, and its failure domain is not
    /// evacuated.
    bool takesWork(const IncarnationRecord &incarnation) const;

    /// The target's newest life is \a identity, as it says of itself, and it drains or not as said.
    bool matchesNewest(const TargetIdentity &identity, bool isDraining) const;

    std::string snapshot() const;
    /// Reads snapshots of this format and of those before it.
    /// \errors Corrupt, and the book is unchanged.
    Result<void> restore(std::string_view snapshot);

private:
    CommandOutcome on(const AcceptWorkflow &command);
    CommandOutcome on(const CancelWorkflow &command);
    CommandOutcome on(const PlaceRuns &command);
    CommandOutcome on(const EndRuns &command);
    CommandOutcome on(const RegisterIncarnation &command);
    CommandOutcome on(const ForgetIncarnation &command);
    CommandOutcome on(const SetIncarnationDraining &command);
    CommandOutcome on(const EvacuateDomain &command);
    CommandOutcome on(const StoreDocument &command);
    CommandOutcome on(const ForgetWorkflows &command);
    CommandOutcome on(const MarkIncarnationCrashed &command);
    CommandOutcome on(const MarkIncarnationAlive &command);
    CommandOutcome on(const ResizeIncarnation &command);

    bool fits(const Workflow &workflow, const PlaceRuns &command) const;
    bool hasRoom(const Workflow &workflow, const PlaceRuns &command) const;
    bool endRun(const RunEnd &end, std::int64_t atMs);
    void release(Workflow &workflow, const TaskAddress &address);
    void succeed(Workflow &workflow, const TaskAddress &address);
    void fail(Workflow &workflow, const RunEnd &end);
    void lose(const StepSpec &spec, const RunEnd &end, IncarnationId incarnation);
    void giveUp(const TaskAddress &address, std::int64_t atMs);
    void settle(Workflow &workflow, std::int64_t atMs);

    template<typename Archive>
    void serialize(Archive &archive, unsigned format);

    std::map<WorkflowId, Workflow> all;
    std::set<WorkflowId> liveIds;
    IncarnationTable lifeTable;
    std::map<std::string, IncarnationId> newest; ///< by the target's name
    std::uint32_t lastLife = 0;
    std::map<std::string, Resources> used;
    std::int64_t version = 0;
    std::string text;
    std::set<std::string> evacuated; ///< failure domains
    TargetLossTracker lossTracker;
    std::map<IncarnationId, std::uint64_t>
        resizedBy; ///< sequence of the report that changed its room
};

} // namespace guavavalve::workflows
