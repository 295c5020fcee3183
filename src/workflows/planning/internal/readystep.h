#pragma once

#include "workflows/model/policy.h"
#include "workflows/model/workflow.h"
#include "workflows/planning/admissions.h"

#include <cstddef>
#include <cstdint>

namespace guavavalve::workflows::internal {

/// Which targets a step goes to first where targets differ in speed.
enum class SpeedPreference : std::uint8_t {
    Fastest,
    Slowest, ///< of those that are fast enough: the others are left to more urgent queues
    None,
};

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
    SpeedPreference speedPreference = SpeedPreference::Fastest;
    /// With SpeedPreference::Slowest, and for less urgent gangs: on targets that are slower than
    /// this, relative to the usual ones, the step would probably miss its objective.
    double maxLogSlowness = 0.0;
    std::size_t demand = 0; ///< its number among the steps of the plan, in the order of addition
    /// Its client account has or is about to have what it is due. Such steps come after all others
    /// of their priority.
    bool isBeyondShare = false;

    const StepSpec &spec() const { return this->workflow->spec.steps[this->address.step]; }
    const StepProgress &progress() const { return this->workflow->step(this->address); }
    std::size_t waiting() const
    {
        const StepProgress &step = this->progress();
        return step.tasks.size() - step.placed - step.succeeded;
    }
};

} // namespace guavavalve::workflows::internal
