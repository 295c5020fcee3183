#include "workflows/planning/planner.h"

#include "workflows/model/objective.h"
#include "workflows/planning/internal/admissionqueryplanner.h"
#include "workflows/planning/internal/planroom.h"
#include "workflows/planning/internal/readystep.h"
#include "workflows/planning/internal/speedpreference.h"
#include "workflows/shares/accountshares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace guavavalve::workflows {

using internal::AdmissionQueryPlanner;
using internal::PlanRoom;
using internal::ReadyStep;
using internal::SpeedPreference;

namespace {

/// The processor capacity of all targets, divided by this, may be reserved for waiting gangs, and
/// stays idle until enough tasks have ended. That is room for two to four gangs of six tasks in
/// cells of 48 targets, and for about ten gangs of twenty in cells of 350.
constexpr std::int64_t gangReserveDivisor = 6;
/// Tickets are kept valid for the first gangs in order that together need about the processor
/// capacity of all targets, divided by this.
constexpr std::int64_t nextGangsDivisor = 3;
/// Instances required for each such gang: keeping its tickets valid occupies one instance nearly
/// all the time.
constexpr std::size_t instancesPerGang = 4;
/// Targets that a query about a step is expected to name, for the share of query time it needs.
constexpr double expectedTargetsPerQuery = 30.0;

bool hasWaiting(const StepSpec &spec, const StepProgress &progress)
{
    const std::size_t waiting = progress.tasks.size() - progress.placed - progress.succeeded;
    // A gang restarts only once all members of its last run have ended.
    return spec.gang ? waiting == progress.tasks.size() : waiting > 0;
}

/// What a ready step needs, for the shares of client accounts.
struct StepDemand
{
    AccountLoads::Row row = 0; ///< its account and queue
    Resources need; ///< of all its waiting tasks
    double queryMs = 0.0; ///< query time that it needs before a task can start
};

class Planner
{
public:
    explicit Planner(const PlanInput &planInput)
        : input(planInput)
        , room(planInput)
        , queries(planInput, this->room)
    {
        for (const OpenTarget &target : this->room.targets()) {
            this->plan.summary.capacity += target.identity->capacity;
            this->plan.summary.idleMilliCores +=
                std::max<std::int64_t>(0, target.free[ResourceKind::MilliCores]);
        }
        this->totalMilliCores = this->plan.summary.capacity[ResourceKind::MilliCores];
        for (const auto &[name, queue] : planInput.policy.queues) {
            const auto [most, isNew] = this->mostUrgent.try_emplace(queue.service, queue.priority);
            most->second = std::min(most->second, queue.priority);
        }
    }

    Plan run()
    {
        std::vector<ReadyStep> steps = this->readySteps();
        std::sort(steps.begin(), steps.end(), [](const ReadyStep &a, const ReadyStep &b) {
            return std::tie(a.queue->priority, a.isLate, a.objectiveAtMs, a.address)
                < std::tie(b.queue->priority, b.isLate, b.objectiveAtMs, b.address);
        });
        if (this->input.accountUse != nullptr)
            this->orderByShares(steps);
        for (const ReadyStep &step : steps) {
            const std::size_t placementsBefore = this->plan.placements.size();
            const std::size_t waitingBefore = this->plan.waiting.size();
            this->place(step);
            this->countLoad(step, placementsBefore, waitingBefore);
        }
        this->plan.summary.openTargets = this->room.targets().size();
        for (const OpenTarget &target : this->room.targets())
            this->plan.summary.free += target.free;
        this->plan.summary.claimedMilliCores = this->room.claimedMilliCores();
        this->plan.summary.reservedMilliCores = this->reservedMilliCores;
        return std::move(this->plan);
    }

private:
    std::vector<ReadyStep> readySteps()
    {
        std::vector<ReadyStep> steps;
        const std::uint32_t maxPriority = this->input.scope == PlanScope::All
            ? std::numeric_limits<std::uint32_t>::max()
            : this->input.policy.mostUrgentPriority();
        for (const WorkflowId id : this->input.store.live()) {
            const Workflow *workflow = this->input.store.find(id);
            const QueuePolicy *queue =
                workflow == nullptr ? nullptr : this->input.policy.queue(workflow->spec.queue);
            if (queue == nullptr || queue->priority > maxPriority)
                continue;
            const std::size_t before = steps.size();
            if (!workflow->isOver())
                this->addReadySteps(*workflow, *queue, steps);
            if (this->input.accountUse != nullptr)
                this->addLoad(*workflow, steps, before);
        }
        return steps;
    }

    /// Adds what the workflow has placed and what its ready steps need, those from \a first on, to
    /// the load of its account.
    void addLoad(const Workflow &workflow, std::vector<ReadyStep> &steps, std::size_t first)
    {
        if (workflow.placed == 0 && first == steps.size())
            return;
        const AccountLoads::Row row = this->loads.row(workflow.spec.account, workflow.spec.queue);
        AccountLoad &load = this->loads[row];
        for (std::size_t k = 0; workflow.placed > 0 && k < workflow.occurrences.size(); ++k) {
            const Workflow::Occurrence &occurrence = workflow.occurrences[k];
            for (std::size_t i = 0; i < occurrence.size(); ++i) {
                load.placed.addTimes(workflow.spec.steps[i].reserved(),
                                     static_cast<std::int64_t>(occurrence[i].placed));
                load.placedTasks += occurrence[i].placed;
            }
        }
        for (std::size_t i = first; i < steps.size(); ++i) {
            StepDemand demand;
            demand.row = row;
            if (const std::size_t startable = this->startableTasks(steps[i])) {
                demand.need.addTimes(steps[i].spec().reserved(),
                                     static_cast<std::int64_t>(startable));
                demand.queryMs = missingQueryMs(steps[i]);
            }
            load.waiting += demand.need;
            load.waitingTasks += steps[i].waiting();
            load.waitingQueryMs += demand.queryMs;
            steps[i].demand = this->demands.size();
            this->demands.push_back(demand);
        }
    }

    /// Number of waiting tasks of the step that could start now if they had room. Other steps do
    /// not compete: what they need would be charged to their account's share in vain.
    std::size_t startableTasks(const ReadyStep &step) const
    {
        const std::size_t count = step.waiting() - this->withheld(step);
        const bool isGang = step.spec().gang;
        const bool canStart = count > 0 && !this->room.isOverLimit(step, isGang ? count : 1)
            && (!isGang || this->fitsIntoCell(step));
        return canStart ? count : 0;
    }

    /// True if the gang could start if all targets were empty.
    bool fitsIntoCell(const ReadyStep &step) const
    {
        std::size_t missing = step.progress().tasks.size();
        for (const OpenTarget &target : this->room.targets()) {
            if (!PlanRoom::mayRun(step, target))
                continue;
            const std::size_t slots = internal::slotsIn(step, target.identity->capacity);
            if (slots >= missing)
                return true;
            missing -= slots;
        }
        return missing == 0;
    }

    /// Expected processing time of the queries that the step needs before any of its tasks can
    /// start.
    static double missingQueryMs(const ReadyStep &step)
    {
        const bool hasAsked = step.admissions != nullptr
            && (!step.admissions->admitted.empty() || !step.admissions->asked.empty());
        return !step.queue->needsAdmission || hasAsked
            ? 0.0
            : step.queue->queryBaseMs + expectedTargetsPerQuery * step.queue->queryMsPerTarget;
    }

    /// Moves steps beyond their account's share to the end of their priority; \a steps are in the
    /// order in which they would be placed without shares.
    void orderByShares(std::vector<ReadyStep> &steps)
    {
        std::map<std::string, Resources> free;
        for (const OpenTarget &target : this->room.targets()) {
            Resources &ofService = free[target.identity->service];
            for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
                ofService.amounts[kind] += std::max<std::int64_t>(0, target.free.amounts[kind]);
        }
        this->shares = std::make_shared<AccountShares>(this->input.policy, std::move(this->loads),
                                                       *this->input.accountUse, free);
        bool hasAnyBeyond = false;
        for (ReadyStep &step : steps) {
            const StepDemand &demand = this->demands[step.demand];
            step.isBeyondShare = this->shares->take(demand.row, demand.need, demand.queryMs);
            hasAnyBeyond |= step.isBeyondShare;
        }
        if (hasAnyBeyond) {
            std::stable_sort(steps.begin(), steps.end(),
                             [](const ReadyStep &a, const ReadyStep &b) {
                                 return std::tie(a.queue->priority, a.isBeyondShare)
                                     < std::tie(b.queue->priority, b.isBeyondShare);
                             });
        }
        this->plan.shares = this->shares;
    }

    /// Cheap pre-check: most active workflows have no ready step left to place.
    static bool hasReadyStep(const Workflow &workflow)
    {
        for (std::uint32_t k = 0; k < workflow.occurrences.size(); ++k) {
            for (std::size_t i = 0; i < workflow.spec.steps.size(); ++i) {
                if (hasWaiting(workflow.spec.steps[i], workflow.occurrences[k][i])
                    && workflow.isReady({workflow.spec.id, k, static_cast<std::uint16_t>(i)}))
                    return true;
            }
        }
        return false;
    }

    const StepAdmissions *admissionsOf(const StepAddress &address) const
    {
        const auto known = this->input.admissions.find(address);
        return known == this->input.admissions.end() ? nullptr : &known->second;
    }

    void addReadySteps(const Workflow &workflow, const QueuePolicy &queue,
                       std::vector<ReadyStep> &steps) const
    {
        if (!hasReadyStep(workflow))
            return;
        const std::vector<std::int64_t> criticalPaths = criticalPathsFrom(workflow.spec);
        const std::int64_t allowedMs =
            objectiveOf(queue, *std::max_element(criticalPaths.begin(), criticalPaths.end()));
        for (std::uint32_t k = 0; k < workflow.occurrences.size(); ++k) {
            const std::int64_t dueMs = workflow.spec.dueAtMs(k);
            if (dueMs > this->input.calendarMs)
                break;
            const std::int64_t objectiveAtMs = dueMs + allowedMs;
            for (std::size_t i = 0; i < workflow.spec.steps.size(); ++i) {
                const StepAddress address{workflow.spec.id, k, static_cast<std::uint16_t>(i)};
                const StepSpec &spec = workflow.spec.steps[i];
                if (!hasWaiting(spec, workflow.step(address)) || !workflow.isReady(address))
                    continue;
                const std::int64_t slackMs =
                    objectiveAtMs - this->input.calendarMs - criticalPaths[i];
                steps.push_back({address, &workflow, &queue, objectiveAtMs, slackMs < 0,
                                 this->admissionsOf(address),
                                 this->speedPreferenceOf(queue, spec.gang),
                                 internal::maxLogSlownessFor(spec.estimatedMs, slackMs)});
            }
        }
    }

    SpeedPreference speedPreferenceOf(const QueuePolicy &queue, bool isGang) const
    {
        if (isGang || queue.priority == 0)
            return SpeedPreference::Fastest;
        // A removed queue may be the last one of its service.
        const auto mostUrgent = this->mostUrgent.find(queue.service);
        const bool isSparing = this->input.weighsSpeeds && mostUrgent != this->mostUrgent.end()
            && queue.priority > mostUrgent->second;
        return isSparing ? SpeedPreference::Slowest : SpeedPreference::None;
    }

    /// False while it is undecided how many targets the task has crashed.
    bool mayStart(const ReadyStep &step, std::size_t index) const
    {
        const TargetLossTracker &losses = this->input.store.losses();
        return losses.isEmpty()
            || losses.mayStart({step.address, static_cast<std::uint16_t>(index)});
    }

    bool isSuspect(const ReadyStep &step, std::size_t index) const
    {
        return this->input.store.losses().isSuspect(
            {step.address, static_cast<std::uint16_t>(index)});
    }

    /// Excludes targets from the rest of this plan once they get a task that may crash them.
    void isolateSuspects(const ReadyStep &step, const std::vector<Placement> &placements)
    {
        for (const Placement &placement : placements) {
            if (this->isSuspect(step, placement.index))
                this->isolated.insert(placement.incarnation);
        }
    }

    /// Number of waiting tasks of the step that may not be started now. A gang only starts as a
    /// whole.
    std::size_t withheld(const ReadyStep &step) const
    {
        std::size_t count = 0;
        const std::vector<TaskProgress> &tasks = step.progress().tasks;
        for (std::size_t i = 0; i < tasks.size(); ++i)
            count += tasks[i].phase == TaskPhase::Waiting && !this->mayStart(step, i) ? 1 : 0;
        return step.spec().gang && count > 0 ? step.waiting() : count;
    }

    void place(const ReadyStep &step)
    {
        this->room.reserveClaims(step.queue->priority);
        const std::size_t held = this->withheld(step);
        if (held > 0)
            this->plan.waiting.push_back({step.address, WaitCause::Verdict});
        if (held == step.waiting()) {
            this->countWaiting(step, held);
            return;
        }
        this->room.releaseClaim(step);
        this->candidates = this->room.admittedTargets(step);
        this->placedOfStep = 0;
        const bool isPlaced = step.spec().gang ? this->placeGang(step) : this->placeTasks(step);
        if (isPlaced)
            return; // the placed tasks have used its claim
        this->countWaiting(step, step.waiting() - this->placedOfStep);
        if (this->room.isOverLimit(step, step.spec().gang ? step.progress().tasks.size() : 1)) {
            this->plan.waiting.push_back({step.address, WaitCause::Limit});
            this->room.restoreClaim(step);
            return;
        }
        bool isQueried = false;
        if (step.queue->needsAdmission) {
            const bool isNext = step.spec().gang && this->isNextInLine(step);
            isQueried = this->addQueries(step, isNext);
            if (!isQueried)
                this->noteIfExhausted(step, isNext);
        }
        const WaitCause cause = waitCauseOf(step, isQueried);
        this->plan.waiting.push_back({step.address, cause});
        const bool isAsking = isQueried || this->queries.isExhaustedFor(step)
            || (step.admissions != nullptr && !step.admissions->asked.empty());
        this->plan.summary.isShort |= cause == WaitCause::Room && !isAsking;
        this->room.restoreClaim(step);
        if (step.spec().gang)
            this->reserveRoomFor(step);
    }

    /// Notes the priority of the first step in order that no instance had time for.
    void noteIfExhausted(const ReadyStep &step, bool isNextInLine)
    {
        std::optional<std::uint32_t> &from = this->plan.summary.queriesExhaustedFrom;
        if (from && *from <= step.queue->priority)
            return;
        if (this->queries.wasDenied()
            || (this->queries.isExhaustedFor(step) && this->queries.needsQuery(step, isNextInLine)))
            from = step.queue->priority;
    }

    /// True if queries wait behind others at their instances. A query that an instance sends at
    /// once takes its time in an idle cell too.
    bool areQueriesQueued() const { return this->input.openQueries > this->input.querierCount; }

    /// Adds what place() has done with the step to the load of its queue.
    void countLoad(const ReadyStep &step, std::size_t placementsBefore, std::size_t waitingBefore)
    {
        QueueLoad &load = this->plan.summary.queues[step.workflow->spec.queue];
        if (step.spec().gang)
            return;
        std::size_t started = 0;
        for (std::size_t i = placementsBefore; i < this->plan.placements.size(); ++i)
            started += this->plan.placements[i].placements.size();
        load.startedWork += static_cast<double>(started) * step.spec().workOfTask();
        const bool isWaiting = this->plan.waiting.size() > waitingBefore;
        const WaitCause cause = isWaiting ? this->plan.waiting.back().cause : WaitCause::Verdict;
        const bool countsAsWaiting = cause == WaitCause::Room || cause == WaitCause::Querier
            || (cause == WaitCause::Admission && this->areQueriesQueued());
        if (step.isLate || !countsAsWaiting)
            return;
        const std::size_t tasks = step.waiting() - started;
        load.waitingWork[step.workflow->spec.account] +=
            static_cast<double>(tasks) * step.spec().workOfTask();
        const std::int64_t ofTask = step.spec().reserved()[ResourceKind::MilliCores];
        load.waitingMilliCores += static_cast<std::int64_t>(tasks) * ofTask;
        std::int64_t &smallest = load.smallestTaskMilliCores;
        smallest = smallest == 0 ? ofTask : std::min(smallest, ofTask);
        load.isShortOfQueries |= cause != WaitCause::Room;
    }

    void countWaiting(const ReadyStep &step, std::size_t tasks)
    {
        this->plan.summary.waitingTasks[step.queue->priority] += tasks;
        this->plan.summary.waiting.addTimes(step.spec().reserved(),
                                            static_cast<std::int64_t>(tasks));
    }

    /// True for the first gangs in order, up to a fraction of the cell and of the instances.
    bool isNextInLine(const ReadyStep &step)
    {
        const std::size_t limit =
            std::max<std::size_t>(1, this->input.querierCount / instancesPerGang);
        if (this->nextGangs >= limit
            || this->nextGangsMilliCores * nextGangsDivisor >= this->totalMilliCores)
            return false;
        ++this->nextGangs;
        this->nextGangsMilliCores += gangMilliCores(step);
        return true;
    }

    /// Need of the whole gang, in milli-cores.
    static std::int64_t gangMilliCores(const ReadyStep &step)
    {
        return static_cast<std::int64_t>(step.progress().tasks.size())
            * step.spec().reserved()[ResourceKind::MilliCores];
    }

    /// \a isQueried: this plan contains a query about the step.
    static WaitCause waitCauseOf(const ReadyStep &step, bool isQueried)
    {
        const StepAdmissions *known = step.admissions;
        const bool knowsAny = known != nullptr && !known->admitted.empty();
        if (!step.queue->needsAdmission || (knowsAny && step.spec().gang))
            return WaitCause::Room;
        if (isQueried || (known != nullptr && !known->asked.empty()))
            return WaitCause::Admission;
        return knowsAny ? WaitCause::Room : WaitCause::Querier;
    }

    /// Adds the queries about the step to the plan; true if there are any.
    bool addQueries(const ReadyStep &step, bool isNextInLine)
    {
        const std::size_t before = this->plan.queries.size();
        for (AdmissionQuery &query : this->queries.plan(step, isNextInLine)) {
            this->room.reserveRoom(step, query.claim);
            if (this->shares != nullptr) {
                this->shares->addQueryTime(this->demands[step.demand].row,
                                           step.queue->queryBaseMs
                                               + static_cast<double>(query.targets.size())
                                                   * step.queue->queryMsPerTarget);
            }
            this->plan.queries.push_back(std::move(query));
        }
        return this->plan.queries.size() > before;
    }

    /// Reserves room for a gang: less urgent steps get nothing on the targets that have most of
    /// what it needs. Done only for the most urgent gangs, since the reserved room stays idle
    /// meanwhile, and not for a gang that would not start in an empty cell either.
    ///
    /// Guards against gangs that never start in a full cell because small tasks fill every gap.
    void reserveRoomFor(const ReadyStep &step)
    {
        const auto claim = this->input.claims.find(step.address);
        const bool isClaimed =
            claim != this->input.claims.end() && claim->second.until > this->input.now;
        if (isClaimed || this->reservedMilliCores * gangReserveDivisor >= this->totalMilliCores)
            return;
        std::vector<std::pair<std::int64_t, IncarnationId>> byRoom;
        std::size_t totalSlots = 0; // tasks that all these targets could hold if they were empty
        for (const OpenTarget &target : this->room.targets()) {
            if (!this->room.mayStart(step, target)
                || !this->hasOrAwaitsTicket(step, target.incarnation))
                continue;
            byRoom.emplace_back(-target.free[ResourceKind::MilliCores], target.incarnation);
            totalSlots += internal::slotsIn(step, target.identity->capacity);
        }
        if (totalSlots < step.progress().tasks.size())
            return;
        this->reservedMilliCores += gangMilliCores(step);
        std::sort(byRoom.begin(), byRoom.end());
        this->room.reserveRoom(step, this->firstSlots(step, byRoom));
    }

    /// True if the step has a ticket for the target, or a query for one is pending.
    bool hasOrAwaitsTicket(const ReadyStep &step, IncarnationId incarnation) const
    {
        return this->room.isAdmitted(step, incarnation)
            || (step.admissions != nullptr && step.admissions->asked.count(incarnation) != 0);
    }

    /// Assigns the gang's tasks to the targets in their order, at least one to each, until all are
    /// assigned.
    std::map<IncarnationId, std::uint16_t>
    firstSlots(const ReadyStep &step,
               const std::vector<std::pair<std::int64_t, IncarnationId>> &byRoom)
    {
        std::map<IncarnationId, std::uint16_t> reserved;
        std::size_t missing = step.progress().tasks.size();
        for (const auto &[free, incarnation] : byRoom) {
            const std::size_t slots =
                std::max<std::size_t>(1, internal::slotsOn(step, *this->room.find(incarnation)));
            const auto taken = static_cast<std::uint16_t>(std::min(slots, missing));
            reserved[incarnation] = taken;
            missing -= taken;
            if (missing == 0)
                break;
        }
        return reserved;
    }

    /// Places the tasks that fit; true if none is left waiting.
    bool placeTasks(const ReadyStep &step)
    {
        std::map<RunNumber, PlaceRuns> commands; // by run number, which is counted per task
        const StepProgress &progress = step.progress();
        std::map<IncarnationId, std::uint16_t> countByTarget = placedByTarget(step);
        bool isComplete = true;
        for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
            if (progress.tasks[i].phase != TaskPhase::Waiting || !this->mayStart(step, i))
                continue;
            OpenTarget *target = this->room.isOverLimit(step, 1)
                ? nullptr
                : this->bestTarget(step, i, countByTarget, nullptr, nullptr);
            isComplete = target != nullptr;
            if (!isComplete)
                break;
            this->room.allocate(step, *target);
            ++countByTarget[target->incarnation];
            ++this->placedOfStep;
            PlaceRuns &command = commands[progress.tasks[i].run + 1];
            command.step = step.address;
            command.run = progress.tasks[i].run + 1;
            command.placements.push_back({static_cast<std::uint16_t>(i), target->incarnation});
            this->isolateSuspects(step, {command.placements.back()});
        }
        for (auto &[run, command] : commands)
            this->plan.placements.push_back(std::move(command));
        return isComplete;
    }

    /// Places all members or none: on one rack if the gang prefers that and a rack has room,
    /// otherwise on any targets.
    bool placeGang(const ReadyStep &step)
    {
        if (this->room.isOverLimit(step, step.progress().tasks.size()))
            return false;
        if (step.spec().sameRack) {
            for (const std::string &rack : this->racks()) {
                if (this->tryGangBySpeed(step, &rack))
                    return true;
            }
        }
        return this->tryGangBySpeed(step, nullptr);
    }

    /// Places the gang on the fastest targets that hold it as a whole or, if fast targets are to
    /// be left to a more urgent queue, on any that are fast enough. Of these it takes the slower
    /// ones first: the gang gains nothing by some faster members.
    bool tryGangBySpeed(const ReadyStep &step, const std::string *rack)
    {
        if (!this->input.weighsSpeeds)
            return this->tryGang(step, rack, nullptr);
        std::map<int, std::size_t> slotsByPosition;
        for (const OpenTarget *target : this->candidates) {
            if (rack == nullptr || target->identity->rack == *rack)
                slotsByPosition[internal::speedPosition(target->logSlowness)] +=
                    internal::slotsOn(step, *target);
        }
        const bool sparesFast = step.queue->priority > this->mostUrgent.at(step.queue->service);
        if (sparesFast && std::isfinite(step.maxLogSlowness)) {
            const int fastEnough = internal::speedPosition(step.maxLogSlowness);
            if (this->tryGang(step, rack, &fastEnough))
                return true;
        }
        std::size_t slots = 0;
        for (const auto &[position, slotsThere] : slotsByPosition) {
            slots += slotsThere;
            if (slots >= step.progress().tasks.size() && this->tryGang(step, rack, &position))
                return true;
        }
        return false;
    }

    /// \a slowest: position of the slowest targets that may be used; null: all, fast ones first.
    bool tryGang(const ReadyStep &step, const std::string *rack, const int *slowest)
    {
        std::map<IncarnationId, std::uint16_t> countByTarget;
        std::vector<OpenTarget *> taken;
        PlaceRuns command;
        command.step = step.address;
        const StepProgress &progress = step.progress();
        for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
            OpenTarget *target = this->bestTarget(step, i, countByTarget, rack, slowest);
            if (target == nullptr) {
                for (OpenTarget *one : taken)
                    this->room.release(step, *one);
                return false;
            }
            this->room.allocate(step, *target);
            taken.push_back(target);
            ++countByTarget[target->incarnation];
            command.run = std::max(command.run, progress.tasks[i].run + 1);
            command.placements.push_back({static_cast<std::uint16_t>(i), target->incarnation});
        }
        this->isolateSuspects(step, command.placements);
        this->plan.placements.push_back(std::move(command));
        return true;
    }

    static std::map<IncarnationId, std::uint16_t> placedByTarget(const ReadyStep &step)
    {
        std::map<IncarnationId, std::uint16_t> found;
        if (step.spec().maxPerTarget == 0)
            return found;
        for (const TaskProgress &task : step.progress().tasks) {
            if (task.phase == TaskPhase::Placed)
                ++found[task.incarnation];
        }
        return found;
    }

    /// All racks, those with the most room first.
    std::vector<std::string> racks() const
    {
        std::map<std::string, std::int64_t> free;
        for (const OpenTarget &target : this->room.targets())
            free[target.identity->rack] += target.free[ResourceKind::MilliCores];
        std::vector<std::pair<std::int64_t, std::string>> byRoom;
        byRoom.reserve(free.size());
        for (const auto &[rack, milliCores] : free)
            byRoom.emplace_back(-milliCores, rack);
        std::sort(byRoom.begin(), byRoom.end());
        std::vector<std::string> names;
        names.reserve(byRoom.size());
        for (auto &[milliCores, rack] : byRoom)
            names.push_back(std::move(rack));
        return names;
    }

    /// The best target for the task at \a index; null if it fits nowhere. \a rack, \a slowest:
    /// limit the choice unless they are null; see tryGang().
    OpenTarget *bestTarget(const ReadyStep &step, std::size_t index,
                           const std::map<IncarnationId, std::uint16_t> &countByTarget,
                           const std::string *rack, const int *slowest)
    {
        const Resources need = step.spec().reserved();
        const TaskProgress &task = step.progress().tasks[index];
        const bool isSuspect = this->isSuspect(step, index);
        OpenTarget *best = nullptr;
        std::tuple<bool, bool, std::size_t, bool, internal::SpeedScore, std::int64_t> bestScore;
        for (OpenTarget *target : this->candidates) {
            if (!need.fitsInto(target->free) || this->isolated.count(target->incarnation) != 0
                || (rack != nullptr && target->identity->rack != *rack))
                continue;
            const auto here = countByTarget.find(target->incarnation);
            const std::uint16_t count = here == countByTarget.end() ? 0 : here->second;
            if (step.spec().maxPerTarget != 0 && count >= step.spec().maxPerTarget)
                continue;
            const bool isFar =
                !step.spec().dataRack.empty() && target->identity->rack != step.spec().dataRack;
            const bool ranThere =
                task.run > 0 && task.incarnation == target->incarnation; // without success
            const int position = internal::speedPosition(target->logSlowness);
            if (slowest != nullptr && position > *slowest)
                continue;
            const internal::SpeedScore speed = slowest == nullptr
                ? internal::speedScore(step, *target)
                : internal::SpeedScore{0, -position};
            const std::tuple score{
                ranThere, target->isCold, isSuspect ? target->occupants : 0,
                isFar,    speed,          target->free[ResourceKind::MilliCores]};
            if (best == nullptr || score < bestScore) {
                best = target;
                bestScore = score;
            }
        }
        return best;
    }

    const PlanInput &input;
    std::map<std::string, std::uint32_t> mostUrgent; ///< priority, by service
    PlanRoom room;
    AdmissionQueryPlanner queries;
    std::vector<OpenTarget *> candidates; ///< targets that admit the step being placed
    std::set<IncarnationId> isolated; ///< targets given a task that may crash them
    std::size_t placedOfStep = 0; ///< tasks of the step being placed, unless it is a gang
    std::int64_t totalMilliCores = 0; ///< of all open targets
    std::int64_t reservedMilliCores = 0; ///< for waiting gangs
    std::int64_t nextGangsMilliCores = 0; ///< needed by gangs whose tickets are kept valid
    std::size_t nextGangs = 0;
    AccountLoads loads; ///< moved into the shares once all is counted
    std::vector<StepDemand> demands; ///< of the ready steps, in the order of their addition
    std::shared_ptr<AccountShares> shares;
    Plan plan;
};

} // namespace

Plan makePlan(const PlanInput &input)
{
    return Planner(input).run();
}

} // namespace guavavalve::workflows
