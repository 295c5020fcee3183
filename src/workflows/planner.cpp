#include "workflows/planner.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace guavavalve::workflows {

namespace {

/// Targets named in one question. The objectives of workflows count one question about 30.
constexpr std::size_t maxNamedTargets = 30;
/// A ticket must outlast the commit of the placement and the way to the target: about 50 ms on
/// disks of 6 ms, several times that on a slow one.
constexpr Milliseconds ticketReserve{200};

struct ReadyStep
{
    StepAddress address;
    const Workflow *workflow = nullptr;
    const QueuePolicy *queue = nullptr;
    std::int64_t objectiveMs = 0; ///< calendar time by which the workflow should be done

    const StepSpec &spec() const { return this->workflow->spec.steps[this->address.step]; }
    const StepProgress &progress() const { return this->workflow->step(this->address); }
};

/// The longest chain of work, by the callers' estimates.
std::int64_t longestChainMs(const WorkflowSpec &spec)
{
    std::vector<std::int64_t> until(spec.steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        std::int64_t start = 0;
        for (const std::uint16_t earlier : spec.steps[i].after)
            start = std::max(start, until[earlier]);
        until[i] = start + spec.steps[i].estimatedMs;
        longest = std::max(longest, until[i]);
    }
    return longest;
}

std::int64_t objectiveMs(const Workflow &workflow, std::uint32_t occurrence,
                         const QueuePolicy &queue)
{
    const auto chain = static_cast<double>(longestChainMs(workflow.spec));
    return workflow.spec.dueAtMs(occurrence) + queue.slackMs
        + static_cast<std::int64_t>(queue.stretch * chain);
}

bool hasWaiting(const StepSpec &spec, const StepProgress &progress)
{
    const std::size_t waiting = progress.tasks.size() - progress.placed - progress.succeeded;
    // A gang starts again once all members of its last run are over.
    return spec.gang ? waiting == progress.tasks.size() : waiting > 0;
}

class Planner
{
public:
    explicit Planner(PlanInput &planInput)
        : input(planInput)
        , accounts(planInput.book.placedByAccount())
    {}

    Plan run()
    {
        std::vector<ReadyStep> steps = this->readySteps();
        std::sort(steps.begin(), steps.end(), [](const ReadyStep &a, const ReadyStep &b) {
            return std::tie(a.queue->priority, a.objectiveMs, a.address)
                < std::tie(b.queue->priority, b.objectiveMs, b.address);
        });
        for (const ReadyStep &step : steps)
            this->place(step);
        this->plan.summary.openTargets = this->input.targets.size();
        for (const OpenTarget &target : this->input.targets)
            this->plan.summary.free += target.free;
        return std::move(this->plan);
    }

private:
    std::vector<ReadyStep> readySteps() const
    {
        std::vector<ReadyStep> steps;
        for (const WorkflowId id : this->input.book.live()) {
            const Workflow *workflow = this->input.book.find(id);
            const QueuePolicy *queue =
                workflow == nullptr ? nullptr : this->input.policy.queue(workflow->spec.queue);
            if (queue != nullptr && !workflow->isOver())
                this->addReadySteps(*workflow, *queue, steps);
        }
        return steps;
    }

    void addReadySteps(const Workflow &workflow, const QueuePolicy &queue,
                       std::vector<ReadyStep> &steps) const
    {
        for (std::uint32_t k = 0; k < workflow.occurrences.size(); ++k) {
            if (workflow.spec.dueAtMs(k) > this->input.calendarMs)
                break;
            for (std::size_t i = 0; i < workflow.spec.steps.size(); ++i) {
                const StepAddress address{workflow.spec.id, k, static_cast<std::uint16_t>(i)};
                const StepProgress &progress = workflow.step(address);
                if (hasWaiting(workflow.spec.steps[i], progress) && workflow.isReady(address))
                    steps.push_back({address, &workflow, &queue, objectiveMs(workflow, k, queue)});
            }
        }
    }

    void place(const ReadyStep &step)
    {
        const bool isPlaced = step.spec().gang ? this->placeGang(step) : this->placeSingles(step);
        if (isPlaced)
            return;
        this->plan.summary.waitingTasks[step.queue->priority] +=
            step.progress().tasks.size() - step.progress().placed - step.progress().succeeded;
        if (step.queue->needsAdvice && !this->isOverLimit(step, 1))
            this->ask(step);
    }

    /// Places what finds room; true if nothing is left waiting.
    bool placeSingles(const ReadyStep &step)
    {
        std::map<RunNumber, PlaceRuns> commands; // by run number: each task counts its own starts
        const StepProgress &progress = step.progress();
        std::map<LifeNumber, std::uint16_t> onTarget = this->placedOfStep(step);
        bool isWhole = true;
        for (std::size_t i = 0; i < progress.tasks.size() && isWhole; ++i) {
            if (progress.tasks[i].phase != TaskPhase::Waiting)
                continue;
            OpenTarget *target =
                this->isOverLimit(step, 1) ? nullptr : this->bestTarget(step, onTarget, nullptr);
            isWhole = target != nullptr;
            if (!isWhole)
                break;
            this->take(step, *target, onTarget);
            const RunNumber run = progress.tasks[i].run + 1;
            PlaceRuns &command = commands[run];
            command.step = step.address;
            command.run = run;
            command.placements.push_back({static_cast<std::uint16_t>(i), target->life});
        }
        for (auto &[run, command] : commands)
            this->plan.placements.push_back(std::move(command));
        return isWhole;
    }

    /// Places all members at once or none: on one rack if the gang asks for that and one has the
    /// room, else anywhere.
    bool placeGang(const ReadyStep &step)
    {
        if (this->isOverLimit(step, step.progress().tasks.size()))
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
        const std::vector<OpenTarget> before = this->input.targets;
        std::map<LifeNumber, std::uint16_t> onTarget;
        PlaceRuns command;
        command.step = step.address;
        const StepProgress &progress = step.progress();
        for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
            OpenTarget *target = this->bestTarget(step, onTarget, rack);
            if (target == nullptr) {
                this->undo(step, before, i);
                return false;
            }
            this->take(step, *target, onTarget);
            command.run = std::max(command.run, progress.tasks[i].run + 1);
            command.placements.push_back({static_cast<std::uint16_t>(i), target->life});
        }
        this->plan.placements.push_back(std::move(command));
        return true;
    }

    void undo(const ReadyStep &step, const std::vector<OpenTarget> &before, std::size_t taken)
    {
        this->input.targets = before;
        for (std::size_t i = 0; i < taken; ++i)
            this->accounts[step.workflow->spec.account] -= step.spec().need;
    }

    void take(const ReadyStep &step, OpenTarget &target,
              std::map<LifeNumber, std::uint16_t> &onTarget)
    {
        target.free -= step.spec().reserved();
        this->accounts[step.workflow->spec.account] += step.spec().need;
        ++onTarget[target.life];
    }

    /// True if \a more tasks of the step would bring its account over its limit.
    bool isOverLimit(const ReadyStep &step, std::size_t more) const
    {
        const std::string &name = step.workflow->spec.account;
        const auto account = this->input.policy.accounts.find(name);
        if (account == this->input.policy.accounts.end())
            return false; // it was taken out after its work had been accepted
        const auto held = this->accounts.find(name);
        Resources after = held == this->accounts.end() ? Resources{} : held->second;
        for (std::size_t i = 0; i < more; ++i)
            after += step.spec().need;
        return !after.fitsInto(account->second.limit);
    }

    std::map<LifeNumber, std::uint16_t> placedOfStep(const ReadyStep &step) const
    {
        std::map<LifeNumber, std::uint16_t> found;
        if (step.spec().maxPerTarget == 0)
            return found;
        for (const TaskProgress &task : step.progress().tasks) {
            if (task.phase == TaskPhase::Placed)
                ++found[task.life];
        }
        return found;
    }

    std::vector<std::string> racks() const
    {
        std::map<std::string, std::int64_t> room;
        for (const OpenTarget &target : this->input.targets)
            room[target.identity->rack] += target.free[ResourceKind::MilliCores];
        std::vector<std::pair<std::int64_t, std::string>> byRoom;
        for (const auto &[rack, free] : room)
            byRoom.emplace_back(-free, rack);
        std::sort(byRoom.begin(), byRoom.end());
        std::vector<std::string> names;
        for (auto &[free, rack] : byRoom)
            names.push_back(std::move(rack));
        return names;
    }

    bool mayRun(const ReadyStep &step, const OpenTarget &target) const
    {
        return target.identity->service == step.queue->service
            && target.identity->hasLabel(step.spec().label);
    }

    bool isAdmitted(const ReadyStep &step, LifeNumber life) const
    {
        if (!step.queue->needsAdvice)
            return true;
        const auto known = this->input.admissions.find(step.address);
        return known != this->input.admissions.end()
            && known->second.valid(life, this->input.now + ticketReserve) != nullptr;
    }

    /// Where the next task of the step fits best; null: nowhere.
    OpenTarget *bestTarget(const ReadyStep &step,
                           const std::map<LifeNumber, std::uint16_t> &onTarget,
                           const std::string *rack)
    {
        const Resources room = step.spec().reserved();
        OpenTarget *best = nullptr;
        std::pair<bool, std::int64_t> bestScore;
        for (OpenTarget &target : this->input.targets) {
            if (!room.fitsInto(target.free) || !this->mayRun(step, target)
                || (rack != nullptr && target.identity->rack != *rack)
                || !this->isAdmitted(step, target.life))
                continue;
            const auto here = onTarget.find(target.life);
            const std::uint16_t count = here == onTarget.end() ? 0 : here->second;
            if (step.spec().maxPerTarget != 0 && count >= step.spec().maxPerTarget)
                continue;
            const bool isFar =
                !step.spec().dataRack.empty() && target.identity->rack != step.spec().dataRack;
            const std::pair<bool, std::int64_t> score{isFar, target.free[ResourceKind::MilliCores]};
            if (best == nullptr || score < bestScore) {
                best = &target;
                bestScore = score;
            }
        }
        return best;
    }

    /// Asks about targets that have room: those known to be admitted first, then unknown ones.
    void ask(const ReadyStep &step)
    {
        const auto known = this->input.admissions.find(step.address);
        const StepAdmissions *admissions =
            known == this->input.admissions.end() ? nullptr : &known->second;
        if (admissions != nullptr
            && (admissions->isAsked || this->input.now < admissions->nextQuestionAt))
            return;
        const Resources room = step.spec().reserved();
        std::vector<std::tuple<bool, std::int64_t, LifeNumber>> candidates;
        for (const OpenTarget &target : this->input.targets) {
            if (!room.fitsInto(target.free) || !this->mayRun(step, target)
                || this->isAdmitted(step, target.life))
                continue;
            if (admissions != nullptr && admissions->refused.count(target.life) != 0)
                continue;
            const bool isUnknown =
                admissions == nullptr || admissions->admitted.count(target.life) == 0;
            candidates.emplace_back(isUnknown, -target.free[ResourceKind::MilliCores], target.life);
        }
        if (candidates.empty())
            return;
        std::sort(candidates.begin(), candidates.end());
        AdmissionQuestion question;
        question.step = step.address;
        for (const auto &[isUnknown, free, life] : candidates) {
            if (question.targets.size() < maxNamedTargets)
                question.targets.push_back(life);
        }
        this->plan.questions.push_back(std::move(question));
    }

    PlanInput &input;
    std::map<std::string, Resources> accounts; ///< placed, with what this plan places
    Plan plan;
};

} // namespace

Plan makePlan(PlanInput input)
{
    return Planner(input).run();
}

} // namespace guavavalve::workflows
