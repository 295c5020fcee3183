#include "workflows/internal/roommaker.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace guavavalve::workflows::internal {

namespace {

/// Steps for which one plan looks for victims. What is beyond them is looked at by the next plan,
/// some 15 ms later; a plan must not take longer than that under the heaviest load.
constexpr std::size_t maxSearches = 12;

} // namespace

RoomMaker::RoomMaker(const PlanInput &input, PlanRoom &room)
    : input(input)
    , room(room)
{}

const std::vector<RoomMaker::Victim> &RoomMaker::victimsOn(LifeNumber life)
{
    const auto known = this->byLife.find(life);
    if (known != this->byLife.end())
        return known->second;
    std::vector<Victim> &victims = this->byLife[life];
    const LifeRecord *record = this->input.book.find(life);
    if (record == nullptr)
        return victims;
    for (const TaskAddress &task : record->placed) {
        const Workflow *workflow = this->input.book.find(task.step.workflow);
        const QueuePolicy *queue =
            workflow == nullptr ? nullptr : this->input.policy.queue(workflow->spec.queue);
        if (queue == nullptr || this->input.stopping.count(task) != 0)
            continue;
        const StepSpec &spec = workflow->spec.steps[task.step.step];
        if (spec.checkpointing && !spec.gang && !spec.lasting)
            victims.push_back({task, spec.reserved(), queue->priority});
    }
    std::sort(victims.begin(), victims.end(), [](const Victim &a, const Victim &b) {
        return std::make_pair(a.priority, a.need[ResourceKind::MilliCores])
            > std::make_pair(b.priority, b.need[ResourceKind::MilliCores]);
    });
    return victims;
}

/// The fewest tasks whose room, with what is free, holds one more task of the step.
std::optional<RoomMaker::Eviction> RoomMaker::evictionFor(const ReadyStep &step,
                                                          const OpenTarget &target)
{
    const Resources need = step.spec().reserved();
    Resources free = target.free;
    Eviction eviction;
    for (const Victim &victim : this->victimsOn(target.life)) {
        if (need.fitsInto(free))
            break;
        if (victim.priority <= step.queue->priority || this->taken.count(victim.task) != 0)
            continue;
        free += victim.need;
        eviction.milliCores += victim.need[ResourceKind::MilliCores];
        eviction.victims.push_back(victim);
    }
    return need.fitsInto(free) ? std::optional(std::move(eviction)) : std::nullopt;
}

void RoomMaker::evict(const ReadyStep &step, OpenTarget &target, const Eviction &eviction,
                      Preemption &preemption)
{
    for (const Victim &victim : eviction.victims) {
        this->taken.insert(victim.task);
        preemption.victims.push_back(victim.task);
        target.free += victim.need;
    }
    target.free -= step.spec().reserved();
    ++preemption.claim[target.life];
}

std::optional<Preemption> RoomMaker::make(const ReadyStep &step)
{
    const auto claim = this->input.claims.find(step.address);
    const bool isServed =
        claim != this->input.claims.end() && claim->second.until > this->input.now;
    if (isServed || this->searches >= maxSearches)
        return std::nullopt;
    ++this->searches;
    const std::vector<OpenTarget> before = this->room.targets();
    const std::set<TaskAddress> takenBefore = this->taken;
    Preemption preemption;
    preemption.step = step.address;
    std::size_t found = 0;
    for (; found < step.waiting(); ++found) {
        OpenTarget *best = nullptr;
        Eviction least;
        for (OpenTarget &target : this->room.targets()) {
            const auto here = preemption.claim.find(target.life);
            const bool isFull = step.spec().maxPerTarget != 0 && here != preemption.claim.end()
                && here->second >= step.spec().maxPerTarget;
            if (isFull || !PlanRoom::mayRun(step, target)
                || !this->room.isAdmitted(step, target.life))
                continue;
            auto eviction = this->evictionFor(step, target);
            if (eviction && (best == nullptr || eviction->milliCores < least.milliCores)) {
                best = &target;
                least = std::move(*eviction);
            }
        }
        if (best == nullptr)
            break;
        this->evict(step, *best, least, preemption);
    }
    const bool isWhole = step.spec().gang ? found == step.waiting() : found > 0;
    const bool isWorth = isWhole && !preemption.victims.empty();
    // Nothing is free before the victims have ended: what they leave beyond the claim included.
    this->room.targets() = before;
    if (isWorth) {
        this->room.keep(step, preemption.claim);
        return preemption;
    }
    this->taken = takenBefore;
    return std::nullopt;
}

} // namespace guavavalve::workflows::internal
