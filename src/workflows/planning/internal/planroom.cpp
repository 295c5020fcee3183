#include "workflows/planning/internal/planroom.h"

#include <algorithm>

namespace guavavalve::workflows::internal {

namespace {

/// A ticket must stay valid until the placement is committed and its order has reached the target:
/// about 50 ms with disks that take 6 ms for a write, several times that with a slow disk.
constexpr Milliseconds ticketMargin{200};

} // namespace

PlanRoom::PlanRoom(const PlanInput &input)
    : input(input)
    , open(input.targets)
    , accounts(input.store.placedByAccount())
{
    std::sort(this->open.begin(), this->open.end(), [](const OpenTarget &a, const OpenTarget &b) {
        return a.incarnation < b.incarnation;
    });
    for (const auto &[address, claim] : input.claims) {
        const Workflow *workflow = input.store.find(address.workflow);
        const QueuePolicy *queue =
            workflow == nullptr ? nullptr : input.policy.queue(workflow->spec.queue);
        if (queue != nullptr && !workflow->isOver()) {
            this->unreservedClaims.emplace(queue->priority,
                                           ReadyStep{address, workflow, queue, 0, false, nullptr});
        }
    }
}

void PlanRoom::reserveClaims(std::uint32_t priority)
{
    while (!this->unreservedClaims.empty() && this->unreservedClaims.begin()->first <= priority) {
        const ReadyStep &step = this->unreservedClaims.begin()->second;
        this->addClaim(step, -1);
        this->claimed += this->claimOf(step);
        this->unreservedClaims.erase(this->unreservedClaims.begin());
    }
}

OpenTarget *PlanRoom::find(IncarnationId incarnation)
{
    const auto found = std::lower_bound(
        this->open.begin(), this->open.end(), incarnation,
        [](const OpenTarget &target, IncarnationId l) { return target.incarnation < l; });
    return found == this->open.end() || found->incarnation != incarnation ? nullptr : &*found;
}

void PlanRoom::addClaim(const ReadyStep &step, std::int64_t sign)
{
    const auto claim = this->input.claims.find(step.address);
    if (claim == this->input.claims.end() || claim->second.until <= this->input.now)
        return;
    this->addRoom(step, claim->second.tasks, sign);
}

/// Size of the step's claim in milli-cores; 0 if it has expired.
std::int64_t PlanRoom::claimOf(const ReadyStep &step) const
{
    const auto claim = this->input.claims.find(step.address);
    if (claim == this->input.claims.end() || claim->second.until <= this->input.now)
        return 0;
    std::int64_t tasks = 0;
    for (const auto &[incarnation, count] : claim->second.tasks)
        tasks += count;
    return tasks * step.spec().reserved()[ResourceKind::MilliCores];
}

void PlanRoom::addRoom(const ReadyStep &step, const std::map<IncarnationId, std::uint16_t> &tasks,
                       std::int64_t sign)
{
    for (const auto &[incarnation, count] : tasks) {
        if (OpenTarget *target = this->find(incarnation))
            target->free.addTimes(step.spec().reserved(), sign * count);
    }
}

void PlanRoom::releaseClaim(const ReadyStep &step)
{
    this->addClaim(step, 1);
}

void PlanRoom::restoreClaim(const ReadyStep &step)
{
    this->addClaim(step, -1);
}

void PlanRoom::reserveRoom(const ReadyStep &step,
                           const std::map<IncarnationId, std::uint16_t> &claim)
{
    this->addRoom(step, claim, -1);
}

void PlanRoom::allocate(const ReadyStep &step, OpenTarget &target)
{
    target.free -= step.spec().reserved();
    ++target.occupants;
    if (target.onProbation)
        target.free = {};
    this->accounts[step.workflow->spec.account] += step.spec().need;
}

void PlanRoom::release(const ReadyStep &step, OpenTarget &target)
{
    target.free += step.spec().reserved();
    --target.occupants;
    this->accounts[step.workflow->spec.account] -= step.spec().need;
}

bool PlanRoom::isOverLimit(const ReadyStep &step, std::size_t more) const
{
    const std::string &name = step.workflow->spec.account;
    const auto account = this->input.policy.accounts.find(name);
    if (account == this->input.policy.accounts.end())
        return false; // the account was removed after its work had been accepted
    const auto held = this->accounts.find(name);
    Resources after = held == this->accounts.end() ? Resources{} : held->second;
    after.addTimes(step.spec().need, static_cast<std::int64_t>(more));
    return !after.fitsInto(account->second.limit);
}

bool PlanRoom::mayRun(const ReadyStep &step, const OpenTarget &target)
{
    return target.identity->service == step.queue->service
        && target.identity->hasLabel(step.spec().label)
        && !(target.onProbation && step.spec().gang);
}

bool PlanRoom::mayStart(const ReadyStep &step, const OpenTarget &target) const
{
    const bool wasAdmitted = !step.queue->needsAdmission
        || (step.admissions != nullptr && step.admissions->admitted.count(target.incarnation) != 0);
    return wasAdmitted && PlanRoom::mayRun(step, target)
        && step.spec().reserved().fitsInto(target.identity->capacity);
}

std::vector<OpenTarget *> PlanRoom::admittedTargets(const ReadyStep &step)
{
    std::vector<OpenTarget *> found;
    if (!step.queue->needsAdmission) {
        for (OpenTarget &target : this->open) {
            if (PlanRoom::mayRun(step, target))
                found.push_back(&target);
        }
        return found;
    }
    if (step.admissions == nullptr)
        return found;
    const Instant until = this->input.now + ticketMargin;
    for (const auto &[incarnation, admission] : step.admissions->admitted) {
        OpenTarget *target = admission.validUntil > until ? this->find(incarnation) : nullptr;
        if (target != nullptr && PlanRoom::mayRun(step, *target))
            found.push_back(target);
    }
    return found;
}

bool PlanRoom::isAdmitted(const ReadyStep &step, IncarnationId incarnation) const
{
    if (!step.queue->needsAdmission)
        return true;
    return step.admissions != nullptr
        && step.admissions->valid(incarnation, this->input.now + ticketMargin) != nullptr;
}

} // namespace guavavalve::workflows::internal
