#pragma once

#include "core/clock.h"
#include "workflows/admissions.h"
#include "workflows/claims.h"
#include "workflows/policy.h"
#include "workflows/waitcause.h"
#include "workflows/workflowstore.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace guavavalve::workflows {

/// A target that may be given something now.
struct OpenTarget
{
    IncarnationId incarnation = IncarnationId::None;
    const TargetIdentity *identity = nullptr;
    Resources free;
    bool onProbation = false; ///< takes one task that is no member of a gang
    bool isCold = false; ///< slow since its start; used when the others have no room
    std::size_t occupants = 0; ///< tasks that are placed there
};

/// A question for the admission service.
struct AdmissionQuery
{
    StepAddress step;
    std::vector<IncarnationId> targets; ///< the likeliest first
    std::map<IncarnationId, std::uint16_t> claim; ///< room to be kept until the answer
};

/// What a plan left waiting, for the log.
struct PlanSummary
{
    std::map<std::uint32_t, std::size_t> waitingTasks; ///< ready tasks without a place, by priority
    std::size_t openTargets = 0;
    std::int64_t capacityMilliCores = 0; ///< of open targets
    std::int64_t idleMilliCores = 0; ///< of these, booked by nothing that is placed
    std::int64_t claimedMilliCores = 0; ///< kept for steps with questions under way
    std::int64_t savedMilliCores = 0; ///< let gather for gangs
    Resources free; ///< on open targets, after the plan's placements
};

struct Plan
{
    std::vector<PlaceRuns> placements;
    std::vector<AdmissionQuery> queries;
    std::vector<WaitingStep> waiting; ///< steps that have ready tasks without a place
    PlanSummary summary;
};

/// Everything that a plan depends on.
struct PlanInput
{
    const WorkflowStore &store;
    const Policy &policy;
    const AdmissionTable &admissions;
    const ClaimTable &claims;
    std::vector<OpenTarget> targets;
    Instant now;
    std::int64_t calendarMs = 0;
    const AdmittedFractions *admittedFractions = nullptr; ///< null: nothing has been observed
    std::size_t querierCount = 1; ///< instances that can put questions to the admission service
    std::size_t openQueries = 0; ///< that wait for their answers
};

/// Decides which ready tasks go where. Pure.
///
/// Steps are taken by their queue's priority and then by when their workflow's objective ends. A
/// gang is placed whole or not at all. A task goes to the target with the least processor room
/// left, so that wide gaps stay for wide tasks, and if there is a choice not where its last run
/// was in vain. One that may crash its target goes where it would take the fewest others with it.
/// Client accounts are kept below their limits.
Plan makePlan(const PlanInput &input);

} // namespace guavavalve::workflows
