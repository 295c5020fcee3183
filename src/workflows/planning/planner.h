#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "workflows/model/policy.h"
#include "workflows/model/waitcause.h"
#include "workflows/planning/admissions.h"
#include "workflows/planning/claims.h"
#include "workflows/planning/queueload.h"
#include "workflows/store/workflowstore.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavavalve::workflows {

class AccountShares;
class AccountUse;

/// A target that may be given tasks now.
struct OpenTarget
{
    IncarnationId incarnation = IncarnationId::None;
    const TargetIdentity *identity = nullptr;
    Resources free;
    bool onProbation = false; ///< takes a single task, and no member of a gang
    bool isCold = false; ///< slow because it started recently; used only if the others have no room
    std::size_t occupants = 0; ///< number of tasks placed there
    /// Logarithm of the expected run time there, relative to that on a usual target.
    double logSlowness = 0.0;
    /// A few tasks that are not urgent should tell how fast it is.
    bool isWorthExploring = false;
};

/// A query to the admission service.
struct AdmissionQuery
{
    StepAddress step;
    std::vector<IncarnationId> targets; ///< the most promising first
    std::map<IncarnationId, std::uint16_t> claim; ///< room to reserve until the answer
    InstanceId querier = {}; ///< the instance that sends it
};

/// Reserves the time of an instance for a query that takes \a expected to process; empty if none
/// can take it soon.
using QuerierReservation = std::function<std::optional<InstanceId>(Milliseconds expected)>;

/// Summary of a plan, for the log and for the choice of the targets that are polled.
struct PlanSummary
{
    std::map<std::uint32_t, std::size_t> waitingTasks; ///< ready tasks without a place, by priority
    std::size_t openTargets = 0;
    std::int64_t idleMilliCores = 0; ///< of open targets, not booked by placed tasks
    std::int64_t claimedMilliCores = 0; ///< reserved for steps with pending queries
    std::int64_t reservedMilliCores = 0; ///< for waiting gangs
    Resources free; ///< on open targets, after the plan's placements
    Resources capacity; ///< of open targets
    Resources waiting; ///< needed by the ready tasks without a place
    /// A step waits for room, and no query about further targets is pending or possible.
    bool isShort = false;
    /// The most urgent priority of which a step was not queried because no instance had time.
    std::optional<std::uint32_t> queriesExhaustedFrom;
    std::map<std::string, QueueLoad> queues; ///< by name; those with ready tasks
};

struct Plan
{
    std::vector<PlaceRuns> placements;
    std::vector<AdmissionQuery> queries;
    std::vector<WaitingStep> waiting; ///< steps with ready tasks that were not placed
    PlanSummary summary;
    std::shared_ptr<const AccountShares> shares; ///< null: the plan does not consider shares
};

/// Which steps a plan considers.
enum class PlanScope : std::uint8_t {
    All,
    /// Only steps of the most urgent queues. Such a plan takes a fraction of the time of a full one
    /// when thousands of other steps wait. Its summary describes these steps alone.
    MostUrgent,
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
    const AdmittedFractions *admittedFractions = nullptr; ///< null: nothing observed yet
    std::size_t querierCount = 1; ///< instances that can query the admission service
    std::size_t openQueries = 0; ///< pending queries to the admission service
    /// Empty: every query can be sent. The most urgent steps reserve first.
    QuerierReservation reserveQuerier = nullptr;
    PlanScope scope = PlanScope::All;
    /// What the client accounts have used recently; null: steps are placed regardless of shares.
    const AccountUse *accountUse = nullptr;
    /// False: targets' speeds matter to gangs and the most urgent queues alone.
    bool weighsSpeeds = true;
};

/// Assigns ready tasks to targets. Pure.
///
/// Steps are placed in the order of their queue's priority and then of their workflow's objective;
/// under contention, those beyond their client account's share come last in their priority.
/// A gang is placed as a whole or not at all. A task goes to the target with the least free
/// processor capacity (best fit), which keeps large gaps for large tasks, and preferably not to the
/// target of its last unsuccessful run. Where targets differ in speed, tasks of the most urgent
/// queues go to the fastest ones that have room, since their objectives leave the least time; less
/// urgent tasks go to the slowest ones that should still meet their objectives, and a gang to the
/// fastest targets that hold it as a whole, or to any that are fast enough if it is less urgent,
/// since it is as slow as its slowest member. A task that
/// may crash its target goes where the fewest other tasks would be lost. Client accounts are kept
/// within their limits.
Plan makePlan(const PlanInput &input);

} // namespace guavavalve::workflows
