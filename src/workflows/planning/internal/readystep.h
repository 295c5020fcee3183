#pragma once

#include "workflows/model/policy.h"
#include "workflows/model/workflow.h"
#include "workflows/planning/admissions.h"

#include <cstddef>
#include <cstdint>

namespace guavavalve::workflows::internal {

/// A step that has tasks to place.
struct ReadyStep
{
    StepAddress address;
    const Workflow *workflow = nullptr;
    const QueuePolicy *queue = nullptr;
    std::int64_t objectiveAtMs = 0; ///< calendar time by which the workflow should be done
    /// The step would miss its objective even if it were started now. Such steps come after all
    /// others of their priority.
    ///
    /// Guards against an overloaded cell in which every workflow is late: ordered by objective
    /// alone, the oldest come first, and each that is already late delays one that could still be
    /// on time.
    bool isLate = false;
    const StepAdmissions *admissions = nullptr; ///< null: no answer or pending query yet
    std::size_t demand = 0; ///< its number among the steps of the plan, in the order of addition
    /// Its client account has or is about to have what it is due. Such steps come after all others
    /// of their priority.
    bool isBeyondShare = false;

    const StepSpec &spec() const { return this->workflow->spec.steps[this->address.step]; }
    const StepProgress &progress() const { return this->workflow->step(this->address); }
    /// True if the step should go to fast targets first.
    bool prefersFast() const { return this->queue->priority == 0 || this->spec().gang; }
    std::size_t waiting() const
    {
        const StepProgress &step = this->progress();
        return step.tasks.size() - step.placed - step.succeeded;
    }
};

} // namespace guavavalve::workflows::internal
