#pragma once

#include "core/enumnames.h"
#include "workflows/model/stepprogress.h"
#include "workflows/model/workflowspec.h"

#include <cstdint>
#include <vector>

namespace guavavalve::workflows {

/// State of a workflow as reported to its caller.
enum class WorkflowState : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

inline constexpr EnumNames<WorkflowState, 5> workflowStateNames{{
    {WorkflowState::Queued, "queued"},
    {WorkflowState::Running, "running"},
    {WorkflowState::Completed, "completed"},
    {WorkflowState::Failed, "failed"},
    {WorkflowState::Cancelled, "cancelled"},
}};

/// A workflow and its progress.
struct Workflow
{
    using Occurrence = std::vector<StepProgress>;

    WorkflowSpec spec;
    std::vector<Occurrence> occurrences;
    std::uint32_t unfinishedSteps = 0; ///< over all occurrences
    bool hasStarted = false; ///< one of its tasks has been placed
    bool hasFailed = false; ///< a task or a gang failed as often as its queue allows
    bool isCancelled = false;
    std::uint32_t placed = 0; ///< tasks in phase Placed
    std::int64_t endedAtMs = 0; ///< calendar time, for retention only; 0: has not ended

    WorkflowState state() const
    {
        if (this->isCancelled)
            return WorkflowState::Cancelled;
        if (this->hasFailed)
            return WorkflowState::Failed;
        if (this->unfinishedSteps == 0)
            return WorkflowState::Completed;
        return this->hasStarted ? WorkflowState::Running : WorkflowState::Queued;
    }

    /// True if no more of its tasks may be started.
    bool isOver() const
    {
        return this->isCancelled || this->hasFailed || this->unfinishedSteps == 0;
    }

    StepProgress &step(const StepAddress &address)
    {
        return this->occurrences[address.occurrence][address.step];
    }
    const StepProgress &step(const StepAddress &address) const
    {
        return this->occurrences[address.occurrence][address.step];
    }
    /// Returns null if the workflow has no such task.
    const TaskProgress *task(const TaskAddress &address) const
    {
        if (address.step.occurrence >= this->occurrences.size())
            return nullptr;
        const Occurrence &occurrence = this->occurrences[address.step.occurrence];
        if (address.step.step >= occurrence.size())
            return nullptr;
        const StepProgress &progress = occurrence[address.step.step];
        return address.index < progress.tasks.size() ? &progress.tasks[address.index] : nullptr;
    }

    /// True once all steps that \a address depends on have succeeded.
    bool isReady(const StepAddress &address) const
    {
        const Occurrence &occurrence = this->occurrences[address.occurrence];
        for (const std::uint16_t earlier : this->spec.steps[address.step].dependencies) {
            if (!occurrence[earlier].isDone())
                return false;
        }
        return true;
    }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->spec, this->occurrences, this->unfinishedSteps, this->hasStarted,
                this->hasFailed, this->isCancelled, this->placed, this->endedAtMs);
    }
};

} // namespace guavavalve::workflows
