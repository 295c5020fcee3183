#include "workflows/planner.h"

#include "workflows/internal/admissionqueryplanner.h"
#include "workflows/internal/planroom.h"
#include "workflows/internal/readystep.h"
#include "workflows/objective.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace guavavalve::workflows {

using internal::AdmissionQueryPlanner;
using internal::PlanRoom;
using internal::ReadyStep;

namespace {

/// Part of all targets' processors that is let gather for gangs at a time, and stands empty until
/// enough has ended. In cells of 48 targets that are two to four gangs of six tasks, and in cells
/// of 350 about ten of twenty.
constexpr std::int64_t partSavedForGangs = 6;
/// Gangs that together need this part of all targets' processors have their tickets kept fresh.
constexpr std::int64_t partNearTurn = 3;
/// So many instances for each of these gangs, which keeps one busy nearly all the time.
constexpr std::size_t askersPerGang = 4;

bool hasWaiting(const StepSpec &spec, const StepProgress &progress)
{
    const std::size_t waiting = progress.tasks.size() - progress.placed - progress.succeeded;
    // A gang starts again once all members of its last run are over.
    return spec.gang ? waiting == progress.tasks.size() : waiting > 0;
}

class Planner
{
public:
    explicit Planner(const PlanInput &planInput)
        : input(planInput)
        , room(planInput)
        , queries(planInput, this->room)
    {
        for (const OpenTarget &target : this->room.targets()) {
            this->allMilliCores += target.identity->capacity[ResourceKind::MilliCores];
            this->plan.summary.idleMilliCores +=
                std::max<std::int64_t>(0, target.free[ResourceKind::MilliCores]);
        }
    }

    Plan run()
    {
        std::vector<ReadyStep> steps = this->readySteps();
        std::sort(steps.begin(), steps.end(), [](const ReadyStep &a, const ReadyStep &b) {
            return std::tie(a.queue->priority, a.isLate, a.objectiveMs, a.address)
                < std::tie(b.queue->priority, b.isLate, b.objectiveMs, b.address);
        });
        for (const ReadyStep &step : steps)
            this->place(step);
        this->plan.summary.openTargets = this->room.targets().size();
        for (const OpenTarget &target : this->room.targets())
            this->plan.summary.free += target.free;
        this->plan.summary.capacityMilliCores = this->allMilliCores;
        this->plan.summary.claimedMilliCores = this->room.claimedMilliCores();
        this->plan.summary.savedMilliCores = this->savedMilliCores;
        return std::move(this->plan);
    }

private:
    std::vector<ReadyStep> readySteps() const
    {
        std::vector<ReadyStep> steps;
        for (const WorkflowId id : this->input.store.live()) {
            const Workflow *workflow = this->input.store.find(id);
            const QueuePolicy *queue =
                workflow == nullptr ? nullptr : this->input.policy.queue(workflow->spec.queue);
            if (queue != nullptr && !workflow->isOver())
                this->addReadySteps(*workflow, *queue, steps);
        }
        return steps;
    }

    /// Most workflows that are not over have all that is ready under way.
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
        const std::vector<std::int64_t> chains = chainsFrom(workflow.spec);
        const std::int64_t allowedMs =
            objectiveOf(queue, *std::max_element(chains.begin(), chains.end()));
        for (std::uint32_t k = 0; k < workflow.occurrences.size(); ++k) {
            const std::int64_t dueMs = workflow.spec.dueAtMs(k);
            if (dueMs > this->input.calendarMs)
                break;
            const std::int64_t objectiveMs = dueMs + allowedMs;
            for (std::size_t i = 0; i < workflow.spec.steps.size(); ++i) {
                const StepAddress address{workflow.spec.id, k, static_cast<std::uint16_t>(i)};
                const StepProgress &progress = workflow.step(address);
                if (hasWaiting(workflow.spec.steps[i], progress) && workflow.isReady(address))
                    steps.push_back({address, &workflow, &queue, objectiveMs,
                                     this->input.calendarMs + chains[i] > objectiveMs,
                                     this->admissionsOf(address)});
            }
        }
    }

    /// False while it is not known how many targets the task has crashed.
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

    /// Keeps all that comes after in this plan off the targets that get a task which may crash
    /// them.
    void keepAlone(const ReadyStep &step, const std::vector<Placement> &placements)
    {
        for (const Placement &placement : placements) {
            if (this->isSuspect(step, placement.index))
                this->onTrial.insert(placement.incarnation);
        }
    }

    /// Waiting tasks of the step that may not be started now. A gang starts whole.
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
        this->room.holdClaims(step.queue->priority);
        const std::size_t held = this->withheld(step);
        if (held > 0)
            this->plan.waiting.push_back({step.address, WaitCause::Verdict});
        if (held == step.waiting()) {
            this->plan.summary.waitingTasks[step.queue->priority] += held;
            return;
        }
        this->room.openClaim(step);
        this->candidates = this->room.admittedTargets(step);
        this->placedOfStep = 0;
        const bool isPlaced = step.spec().gang ? this->placeGang(step) : this->placeSingles(step);
        if (isPlaced)
            return; // its claim is spent
        this->plan.summary.waitingTasks[step.queue->priority] +=
            step.waiting() - this->placedOfStep;
        if (this->room.isOverLimit(step, step.spec().gang ? step.progress().tasks.size() : 1)) {
            this->plan.waiting.push_back({step.address, WaitCause::Limit});
            this->room.closeClaim(step);
            return;
        }
        bool isAsked = false;
        if (step.queue->needsAdmission)
            isAsked = this->ask(step, step.spec().gang && this->isNearTurn(step));
        this->plan.waiting.push_back({step.address, causeOfWait(step, isAsked)});
        this->room.closeClaim(step);
        if (step.spec().gang)
            this->saveRoomFor(step);
    }

    /// True for the first gangs in order, up to a part of the cell and of the instances that ask.
    bool isNearTurn(const ReadyStep &step)
    {
        const std::size_t most = std::max<std::size_t>(1, this->input.querierCount / askersPerGang);
        if (this->nearTurnGangs >= most
            || this->nearTurnMilliCores * partNearTurn >= this->allMilliCores)
            return false;
        ++this->nearTurnGangs;
        this->nearTurnMilliCores += needOf(step);
        return true;
    }

    /// Of the whole gang, in milli-cores.
    static std::int64_t needOf(const ReadyStep &step)
    {
        return static_cast<std::int64_t>(step.progress().tasks.size())
            * step.spec().reserved()[ResourceKind::MilliCores];
    }

    /// \a isAsked: a question about the step goes out with this plan.
    static WaitCause causeOfWait(const ReadyStep &step, bool isAsked)
    {
        const StepAdmissions *known = step.admissions;
        const bool knowsAny = known != nullptr && !known->admitted.empty();
        if (!step.queue->needsAdmission || (knowsAny && step.spec().gang))
            return WaitCause::Room;
        if (isAsked || (known != nullptr && !known->asked.empty()))
            return WaitCause::Admission;
        return knowsAny ? WaitCause::Room : WaitCause::Querier;
    }

    /// True if there is anything to ask.
    bool ask(const ReadyStep &step, bool isNearTurn)
    {
        const std::size_t before = this->plan.queries.size();
        for (AdmissionQuery &query : this->queries.make(step, isNearTurn)) {
            this->room.keep(step, query.claim);
            this->plan.queries.push_back(std::move(query));
        }
        return this->plan.queries.size() > before;
    }

    /// Lets room gather for a gang: less urgent steps get nothing on the targets that have most of
    /// what it needs. Only for the most urgent gangs, since that room stands empty meanwhile, and
    /// for none that would not start in an empty cell either.
    ///
    /// Guards against gangs that never start in a full cell: small tasks take each gap as it comes.
    void saveRoomFor(const ReadyStep &step)
    {
        const auto claim = this->input.claims.find(step.address);
        const bool isClaimed =
            claim != this->input.claims.end() && claim->second.until > this->input.now;
        if (isClaimed || this->savedMilliCores * partSavedForGangs >= this->allMilliCores)
            return;
        std::vector<std::pair<std::int64_t, IncarnationId>> byRoom;
        std::size_t holds = 0; // of its tasks, all these targets when they are empty
        for (const OpenTarget &target : this->room.targets()) {
            if (!this->room.mayStart(step, target) || !this->isTicketNear(step, target.incarnation))
                continue;
            byRoom.emplace_back(-target.free[ResourceKind::MilliCores], target.incarnation);
            holds += internal::slotsIn(step, target.identity->capacity);
        }
        if (holds < step.progress().tasks.size())
            return;
        this->savedMilliCores += needOf(step);
        std::sort(byRoom.begin(), byRoom.end());
        this->room.keep(step, this->firstSlots(step, byRoom));
    }

    /// The step has a ticket there, or one has been asked for.
    bool isTicketNear(const ReadyStep &step, IncarnationId incarnation) const
    {
        return this->room.isAdmitted(step, incarnation)
            || (step.admissions != nullptr && step.admissions->asked.count(incarnation) != 0);
    }

    /// One task and more on each of the targets, in their order, until all have a place.
    std::map<IncarnationId, std::uint16_t>
    firstSlots(const ReadyStep &step,
               const std::vector<std::pair<std::int64_t, IncarnationId>> &byRoom)
    {
        std::map<IncarnationId, std::uint16_t> saved;
        std::size_t missing = step.progress().tasks.size();
        for (const auto &[free, incarnation] : byRoom) {
            const std::size_t slots =
                std::max<std::size_t>(1, internal::slotsOn(step, *this->room.find(incarnation)));
            const auto taken = static_cast<std::uint16_t>(std::min(slots, missing));
            saved[incarnation] = taken;
            missing -= taken;
            if (missing == 0)
                break;
        }
        return saved;
    }

    /// Places what finds room; true if nothing is left waiting.
    bool placeSingles(const ReadyStep &step)
    {
        std::map<RunNumber, PlaceRuns> commands; // by run number: each task counts its own starts
        const StepProgress &progress = step.progress();
        std::map<IncarnationId, std::uint16_t> onTarget = placedByTarget(step);
        bool isWhole = true;
        for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
            if (progress.tasks[i].phase != TaskPhase::Waiting || !this->mayStart(step, i))
                continue;
            OpenTarget *target = this->room.isOverLimit(step, 1)
                ? nullptr
                : this->bestTarget(step, i, onTarget, nullptr);
            isWhole = target != nullptr;
            if (!isWhole)
                break;
            this->room.take(step, *target);
            ++onTarget[target->incarnation];
            ++this->placedOfStep;
            PlaceRuns &command = commands[progress.tasks[i].run + 1];
            command.step = step.address;
            command.run = progress.tasks[i].run + 1;
            command.placements.push_back({static_cast<std::uint16_t>(i), target->incarnation});
            this->keepAlone(step, {command.placements.back()});
        }
        for (auto &[run, command] : commands)
            this->plan.placements.push_back(std::move(command));
        return isWhole;
    }

    /// Places all members at once or none: on one rack if the gang asks for that and one has the
    /// room, else anywhere.
    bool placeGang(const ReadyStep &step)
    {
        if (this->room.isOverLimit(step, step.progress().tasks.size()))
            return false;
        if (step.spec().sameRack) {
            for (const std::string &rack : this->racks()) {
                if (this->tryGang(step, &rack))
                    return true;
            }
        }
        return this->tryGang(step, nullptr);
    }

    bool tryGang(const ReadyStep &step, const std::string *rack)
    {
        std::map<IncarnationId, std::uint16_t> onTarget;
        std::vector<OpenTarget *> taken;
        PlaceRuns command;
        command.step = step.address;
        const StepProgress &progress = step.progress();
        for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
            OpenTarget *target = this->bestTarget(step, i, onTarget, rack);
            if (target == nullptr) {
                for (OpenTarget *one : taken)
                    this->room.giveBack(step, *one);
                return false;
            }
            this->room.take(step, *target);
            taken.push_back(target);
            ++onTarget[target->incarnation];
            command.run = std::max(command.run, progress.tasks[i].run + 1);
            command.placements.push_back({static_cast<std::uint16_t>(i), target->incarnation});
        }
        this->keepAlone(step, command.placements);
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

    /// Those with the most room first.
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

    /// Where the next task of the step fits best; null: nowhere.
    OpenTarget *bestTarget(const ReadyStep &step, std::size_t index,
                           const std::map<IncarnationId, std::uint16_t> &onTarget,
                           const std::string *rack)
    {
        const Resources need = step.spec().reserved();
        const TaskProgress &task = step.progress().tasks[index];
        const bool isSuspect = this->isSuspect(step, index);
        OpenTarget *best = nullptr;
        std::tuple<bool, bool, std::size_t, bool, std::int64_t> bestScore;
        for (OpenTarget *target : this->candidates) {
            if (!need.fitsInto(target->free) || this->onTrial.count(target->incarnation) != 0
                || (rack != nullptr && target->identity->rack != *rack))
                continue;
            const auto here = onTarget.find(target->incarnation);
            const std::uint16_t count = here == onTarget.end() ? 0 : here->second;
            if (step.spec().maxPerTarget != 0 && count >= step.spec().maxPerTarget)
                continue;
            const bool isFar =
                !step.spec().dataRack.empty() && target->identity->rack != step.spec().dataRack;
            const bool wasThere =
                task.run > 0 && task.incarnation == target->incarnation; // in vain
            const std::tuple score{wasThere, target->isCold, isSuspect ? target->occupants : 0,
                                   isFar, target->free[ResourceKind::MilliCores]};
            if (best == nullptr || score < bestScore) {
                best = target;
                bestScore = score;
            }
        }
        return best;
    }

    const PlanInput &input;
    PlanRoom room;
    AdmissionQueryPlanner queries;
    std::vector<OpenTarget *> candidates; ///< where the step that is being placed is admitted
    std::set<IncarnationId>
        onTrial; ///< targets that this plan has given a task that may crash them
    std::size_t placedOfStep = 0; ///< of the step that is being placed, if it is no gang
    std::int64_t allMilliCores = 0; ///< of all open targets
    std::int64_t savedMilliCores = 0; ///< let gather for gangs
    std::int64_t nearTurnMilliCores = 0; ///< needed by gangs whose tickets are kept fresh
    std::size_t nearTurnGangs = 0;
    Plan plan;
};

} // namespace

Plan makePlan(const PlanInput &input)
{
    return Planner(input).run();
}

} // namespace guavavalve::workflows
