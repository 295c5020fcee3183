#include "workflows/intake/intake.h"

#include "workflows/model/objective.h"

#include <algorithm>
#include <utility>

namespace guavavalve::workflows {

namespace {

/// A result that comes after this many times the objective is of no use to the caller.
constexpr std::int64_t usefulObjectives = 3;
/// Part of the time that the objective leaves a request, as a divisor: run times are estimates, and
/// targets differ in speed, so that work which uses up its whole margin waiting is late.
constexpr std::int64_t slackDivisor = 2;
/// The same of the objective, for objectives that leave nearly no time besides the run time.
constexpr std::int64_t objectiveDivisor = 4;
/// An overload ends when the wait is below this part of the target. In between, accounts get their
/// share, not what they happen to hand in first.
constexpr std::int64_t overloadEndDivisor = 2;
/// Requests with this much time besides the run time wait here rather than at their callers, who
/// would come back later than that: a Retry-After is 1 or 2 s at least.
constexpr Milliseconds patientSlack{2000};
/// A caller waits for 2 s to learn that its request is stored; half of it is for the way.
constexpr Milliseconds maxStoreDelay{1000};
/// Rates of a new controller, or of a queue that was idle, say nothing before this.
constexpr Milliseconds minObservation{2000};
/// A queue counts as short until no plan has found it so for this long.
constexpr Milliseconds shortageEnd{500};
constexpr Milliseconds maxWait{60000}; ///< of queues whose work does not start at all
/// While refused callers wait to come back, requests that have not waited yet may use this part of
/// their account's share.
constexpr double newcomersPart = 0.8;
/// A request that is smaller than what waits has room if this many times its need is free: targets
/// are left with fragments, and others are accepted meanwhile.
constexpr std::int64_t roomFactor = 4;
/// The bound on live workflows is divided into this many parts, see isStoreFullFor().
constexpr std::size_t liveDivisor = 10;
/// An operator ends an evacuation; callers ask again meanwhile.
constexpr Milliseconds evacuatedRetryAfter{2000};
/// Queues and accounts with a line of their own in a report.
constexpr std::size_t maxReportKeys = 64;

double workOf(const StepSpec &step)
{
    return static_cast<double>(step.tasks) * step.workOfTask();
}

std::int64_t milliCoresOf(const StepSpec &step)
{
    return step.tasks * step.reserved()[ResourceKind::MilliCores];
}

/// Needed by the steps that can start at once.
std::int64_t firstMilliCores(const WorkflowSpec &spec)
{
    std::int64_t milliCores = 0;
    for (const StepSpec &step : spec.steps) {
        if (step.dependencies.empty())
            milliCores += milliCoresOf(step);
    }
    return milliCores;
}

/// The need of the largest task that can start at once.
std::int64_t largestTaskMilliCores(const WorkflowSpec &spec)
{
    std::int64_t largest = 0;
    for (const StepSpec &step : spec.steps) {
        if (step.dependencies.empty())
            largest = std::max(largest, step.reserved()[ResourceKind::MilliCores]);
    }
    return largest;
}

AccountBacklog::WeightOf weightsOf(const Policy &policy)
{
    return [&policy](const std::string &account) {
        const auto known = policy.accounts.find(account);
        return known == policy.accounts.end() ? AccountPolicy().weight : known->second.weight;
    };
}

/// Scheduled work starts later, and long-running work has no end that could be late.
bool hasObjective(const WorkflowSpec &spec)
{
    return !spec.isScheduled()
        && std::none_of(spec.steps.begin(), spec.steps.end(),
                        [](const StepSpec &step) { return step.longRunning; });
}

Milliseconds toMilliseconds(Microseconds time)
{
    return std::chrono::duration_cast<Milliseconds>(time);
}

Instant instantOf(const CallStamp &stamp)
{
    return Instant(Microseconds(stamp.controllerUs));
}

} // namespace

void Intake::begin(std::uint64_t newTerm, Instant now)
{
    this->term = newTerm;
    this->beganAt = now;
    this->queues.clear();
    this->unstored = AccountBacklog();
    this->stored = DecayingRate(rateSeconds);
    this->storeDelay = SustainedDelay();
    this->beingStored.clear();
    this->storingSince.clear();
    this->uncertain.clear();
    this->live = AccountBacklog();
    this->unplannedMilliCores = 0;
    this->refusals.clear();
    this->report = {};
}

IntakeDecision Intake::decide(const WorkflowSpec &spec, const CallStamp &stamp,
                              const Policy &policy, std::size_t live, Instant now, bool isEvacuated)
{
    if (this->isBeingStored(spec.id))
        return {};
    if (stamp.isKnown() && stamp.term != this->term)
        return {IntakeVerdict::OtherTerm};
    if (stamp.isKnown() && instantOf(stamp) > now)
        return {IntakeVerdict::OtherTerm}; // of another machine's clock
    const Microseconds age = now - instantOf(stamp);
    if (stamp.isKnown() && age >= this->limits.attemptLifetime)
        return {IntakeVerdict::TooOld};
    const auto refusal = this->refusals.find(spec.id, now);
    const bool isRepeat = refusal && refusal->promisedUntil > now
        && (!stamp.isKnown() || instantOf(stamp) <= refusal->lastAt);
    if (isRepeat) {
        // The call's own age is unknown without a stamp, so the caller should come back after the
        // refusal has been forgotten.
        const Milliseconds left = toMilliseconds(refusal->retryAt - now);
        const Milliseconds retryAfter = stamp.isKnown() ? std::max(left, this->limits.minRetryAfter)
                                                        : this->limits.attemptLifetime;
        return this->refuse(spec, IntakeCause::Repeat, Milliseconds(0), retryAfter, now);
    }
    const QueuePolicy *queue = policy.queue(spec.queue);
    const bool isRemembered = this->uncertain.size() < this->limits.maxRefusedRequests
        && this->refusals.hasSpaceFor(spec.id, now);
    if (isEvacuated && isRemembered)
        return this->refuse(spec, IntakeCause::Evacuated, Milliseconds(0), evacuatedRetryAfter,
                            now);
    if (!stamp.isKnown() || queue == nullptr || !isRemembered)
        return {};
    if (this->isStoreFullFor(spec, policy, live, now)) {
        return this->refuse(spec, IntakeCause::StoreFull, Milliseconds(0),
                            this->spreadRetryAfter(spec.id, this->limits.maxRetryAfter), now);
    }
    if (!hasObjective(spec))
        return {};
    const Outlook expected =
        this->outlook(spec, *queue, toMilliseconds(age), weightsOf(policy), now);
    if (!expected.isQueueOverloaded && !expected.isControllerOverloaded)
        return {IntakeVerdict::Accept, IntakeCause::None, expected.wait};
    const Milliseconds waited = refusal ? toMilliseconds(now - refusal->firstAt) : Milliseconds(0);
    const Milliseconds excess = expected.wait - expected.target;
    if (this->isBeyondShare(spec, expected, waited, policy, now)) {
        return this->refuse(spec, IntakeCause::BeyondShare, expected.wait,
                            this->spreadRetryAfter(spec.id, excess), now);
    }
    if (waited + expected.waitWithinShare > expected.useful) {
        return this->refuse(spec, IntakeCause::TooLate, expected.wait,
                            this->spreadRetryAfter(spec.id, excess), now);
    }
    return {IntakeVerdict::Accept, IntakeCause::None, expected.wait};
}

std::size_t Intake::nearlyFull() const
{
    return this->limits.maxLiveWorkflows / liveDivisor * (liveDivisor - 2);
}

bool Intake::isNearlyFull(std::size_t stored) const
{
    return stored + this->beingStored.size() >= this->nearlyFull();
}

void Intake::liveCounted(const std::map<std::string, std::size_t> &byAccount, Instant now)
{
    this->live.clear(now);
    for (const auto &[account, count] : byAccount)
        this->live.add(account, static_cast<double>(count));
}

/// In the last two tenths, accounts beyond their fair allotment of the rest are refused; the last
/// tenth is reserved for the most urgent queues.
bool Intake::isStoreFullFor(const WorkflowSpec &spec, const Policy &policy, std::size_t stored,
                            Instant now) const
{
    const std::size_t all = stored + this->beingStored.size();
    if (all >= this->limits.maxLiveWorkflows)
        return true;
    if (!this->isNearlyFull(stored))
        return false;
    const std::size_t unreserved = this->limits.maxLiveWorkflows / liveDivisor * (liveDivisor - 1);
    const QueuePolicy *queue = policy.queue(spec.queue);
    if (all >= unreserved && queue->priority > policy.mostUrgentPriority())
        return true;
    return this->live.isBeyondShare(spec.account, static_cast<double>(this->nearlyFull()), 1.0,
                                    weightsOf(policy), now);
}

Intake::Outlook Intake::outlook(const WorkflowSpec &spec, const QueuePolicy &policy,
                                Milliseconds age, const AccountBacklog::WeightOf &weightOf,
                                Instant now)
{
    const std::vector<std::int64_t> paths = criticalPathsFrom(spec);
    const std::int64_t pathMs = paths.empty() ? 0 : *std::max_element(paths.begin(), paths.end());
    const std::int64_t objectiveMs = objectiveOf(policy, pathMs);
    Outlook expected;
    if (objectiveMs <= 0)
        return expected; // the operators have set none
    expected.useful =
        Milliseconds(std::max<std::int64_t>(0, usefulObjectives * objectiveMs - pathMs));
    const Milliseconds slack(objectiveMs - pathMs);
    expected.target = slack >= patientSlack
        ? expected.useful
        : std::max(slack / slackDivisor, Milliseconds(objectiveMs / objectiveDivisor));
    const Milliseconds storing = this->storingTime(now);
    expected.isControllerOverloaded = storing > std::min(expected.target, maxStoreDelay);
    expected.wait = age + storing;
    expected.waitWithinShare = expected.wait;
    const auto found = this->queues.find(spec.queue);
    if (found == this->queues.end() || !this->isShort(found->second, spec))
        return expected;
    const Milliseconds queueWait = this->expectedWait(spec.queue, now);
    // A shortage shorter than what these callers can bear may be over before they notice.
    const Instant shortFrom = found->second.shortSince + std::max(expected.target, shortageEnd);
    const bool isObserved = now >= shortFrom && now >= this->beganAt + minObservation;
    Milliseconds &overloadTarget = found->second.overloadTarget;
    if (isObserved && queueWait > expected.target) {
        const bool isFirst = overloadTarget == Milliseconds(0);
        overloadTarget = isFirst ? expected.target : std::min(overloadTarget, expected.target);
    }
    expected.isQueueOverloaded =
        overloadTarget > Milliseconds(0) && queueWait > expected.target / overloadEndDivisor;
    if (!expected.isQueueOverloaded)
        return expected;
    expected.wait += queueWait;
    const Milliseconds ownWait =
        found->second.waiting.ownWait(spec.account, found->second.started.at(now), weightOf, now);
    expected.waitWithinShare += std::min({queueWait, expected.target, ownWait});
    return expected;
}

/// The time that storing a request takes at present.
Milliseconds Intake::storingTime(Instant now) const
{
    if (this->storingSince.empty())
        return Milliseconds(0);
    // Without outcomes, as when the disk stalls, the oldest request tells how long it takes.
    const Milliseconds oldest = toMilliseconds(now - this->storingSince.begin()->first);
    const Milliseconds observed = this->storeDelay.at(now);
    return oldest > SustainedDelay::window ? std::max(oldest, observed) : observed;
}

/// False if the queue has no shortage, or all of its work and \a spec have room, or \a spec fits
/// where the waiting tasks do not.
bool Intake::isShort(const Queue &queue, const WorkflowSpec &spec) const
{
    if (queue.shortSince == Instant())
        return false;
    if (queue.isShortOfQueries)
        return true;
    const std::int64_t needed = firstMilliCores(spec);
    if (queue.waitingMilliCores + needed <= queue.freeMilliCores)
        return false;
    const bool isSmaller = largestTaskMilliCores(spec) < queue.smallestTaskMilliCores;
    const std::int64_t left = queue.freeMilliCores - this->unplannedMilliCores;
    return !isSmaller || left < roomFactor * needed;
}

bool Intake::isBeyondShare(const WorkflowSpec &spec, const Outlook &expected, Milliseconds waited,
                           const Policy &policy, Instant now) const
{
    const AccountBacklog::WeightOf weightOf = weightsOf(policy);
    // Who has waited longest goes first: the longer a caller has waited, the more of the share.
    double part = 1.0;
    if (this->refusals.waiting(spec.queue, spec.account) > 0 && expected.useful.count() > 0) {
        const double served =
            static_cast<double>(waited.count()) / static_cast<double>(expected.useful.count());
        part = newcomersPart + (1.0 - newcomersPart) * std::min(1.0, served);
    }
    // What waits in all may take as long as the target to be served.
    const auto allowed = [&](const DecayingRate &served, Milliseconds target) {
        return served.at(now) * std::chrono::duration<double>(target).count();
    };
    if (expected.isControllerOverloaded
        && this->unstored.isBeyondShare(
            spec.account, allowed(this->stored, std::min(expected.target, maxStoreDelay)), part,
            weightOf, now))
        return true;
    const auto found = this->queues.find(spec.queue);
    if (!expected.isQueueOverloaded || found == this->queues.end())
        return false;
    const Queue &queue = found->second;
    return queue.waiting.isBeyondShare(spec.account, allowed(queue.started, expected.target), part,
                                       weightOf, now);
}

IntakeDecision Intake::refuse(const WorkflowSpec &spec, IntakeCause cause, Milliseconds wait,
                              Milliseconds retryAfter, Instant now)
{
    RefusedRequests::Refusal refusal;
    const auto before = this->refusals.find(spec.id, now);
    refusal.firstAt = before ? before->firstAt : now;
    refusal.lastAt = now;
    refusal.promisedUntil = now + this->limits.attemptLifetime;
    refusal.retryAt = now + retryAfter;
    this->refusals.refused(spec.id, spec.queue, spec.account, refusal);
    this->unstored.refused(spec.account, now);
    if (cause == IntakeCause::StoreFull)
        this->live.refused(spec.account, now);
    const auto queue = this->queues.find(spec.queue);
    if (queue != this->queues.end())
        queue->second.waiting.refused(spec.account, now);
    IntakeReport::Key key{spec.queue, spec.account, cause};
    if (this->report.refused.size() >= maxReportKeys && this->report.refused.count(key) == 0)
        key = {"other", "other", cause};
    ++this->report.refused[std::move(key)];
    return {IntakeVerdict::Refuse, cause, wait, retryAfter};
}

/// From \a excess, or half of the longest time, up to twice that, so that those who were refused
/// together do not come back together. In whole seconds, as callers are told.
Milliseconds Intake::spreadRetryAfter(WorkflowId id, Milliseconds excess) const
{
    const Milliseconds bounded =
        std::clamp(excess, this->limits.minRetryAfter, this->limits.maxRetryAfter);
    const auto inSeconds = [](Milliseconds time) {
        return (static_cast<std::uint64_t>(time.count()) + 999) / 1000;
    };
    const std::uint64_t most = inSeconds(this->limits.maxRetryAfter);
    const std::uint64_t seconds = std::min(inSeconds(bounded), (most + 1) / 2);
    const std::uint64_t mixed = idValue(id) * 0x9E3779B97F4A7C15U; // Fibonacci hashing
    const std::uint64_t extra = (mixed >> 32U) % (seconds + 1);
    return std::min(this->limits.maxRetryAfter, Milliseconds(1000 * (seconds + extra)));
}

void Intake::accepted(const WorkflowSpec &spec, Instant now)
{
    const auto [storing, isFirst] =
        this->beingStored.try_emplace(spec.id, Storing{now, spec.account});
    if (!isFirst) {
        ++storing->second.submissions;
        return;
    }
    this->storingSince.emplace(now, spec.id);
    if (this->live.total() > 0.0)
        this->live.add(spec.account, 1.0);
    this->refusals.accepted(spec.id);
    this->unstored.add(spec.account, 1.0);
    this->addUnplanned(spec);
}

void Intake::addUnplanned(const WorkflowSpec &spec)
{
    Queue &queue = this->queues[spec.queue];
    for (const StepSpec &step : spec.steps) {
        if (!step.dependencies.empty())
            continue;
        this->unplannedMilliCores += milliCoresOf(step);
        if (step.gang)
            continue;
        queue.waiting.add(spec.account, workOf(step));
        queue.waitingMilliCores += milliCoresOf(step);
    }
}

void Intake::settled(WorkflowId id, std::uint64_t ofTerm, StoreOutcome outcome, Instant now)
{
    const auto found = this->beingStored.find(id);
    if (ofTerm != this->term || found == this->beingStored.end())
        return;
    if (outcome == StoreOutcome::Unknown
        && this->uncertain.size() < this->limits.maxRefusedRequests)
        this->uncertain.insert(id);
    if (outcome == StoreOutcome::Stored) {
        this->storeDelay.observed(toMilliseconds(now - found->second.since), now);
        this->stored.add(now);
    }
    if (--found->second.submissions > 0)
        return;
    this->unstored.remove(found->second.account, 1.0);
    this->storingSince.erase({found->second.since, id});
    this->beingStored.erase(found);
    if (this->beingStored.empty())
        this->unstored.clear(now);
}

void Intake::planned(const std::map<std::string, QueueLoad> &loads, std::int64_t freeMilliCores,
                     const std::vector<const WorkflowSpec *> &unplanned, Instant now)
{
    for (const auto &[name, load] : loads)
        this->queues.try_emplace(name);
    for (auto &[name, queue] : this->queues) {
        const auto found = loads.find(name);
        const QueueLoad load = found == loads.end() ? QueueLoad() : found->second;
        queue.waiting.clear(now);
        for (const auto &[account, work] : load.waitingWork)
            queue.waiting.add(account, work);
        queue.waitingMilliCores = load.waitingMilliCores;
        queue.smallestTaskMilliCores = load.smallestTaskMilliCores;
        queue.freeMilliCores = freeMilliCores;
        queue.isShortOfQueries = load.isShortOfQueries;
        if (load.startedWork > 0.0)
            queue.started.add(now, load.startedWork);
        this->updateShortage(name, queue, !load.waitingWork.empty(), now);
    }
    this->unplannedMilliCores = 0;
    for (const WorkflowSpec *spec : unplanned)
        this->addUnplanned(*spec);
}

void Intake::started(const std::map<std::string, QueueLoad> &loads, Instant now)
{
    for (const auto &[name, load] : loads) {
        if (load.startedWork > 0.0)
            this->queues[name].started.add(now, load.startedWork);
    }
}

void Intake::updateShortage(const std::string &name, Queue &queue, bool isWaiting, Instant now)
{
    if (isWaiting) {
        queue.lastShortAt = now;
        if (queue.shortSince == Instant())
            queue.shortSince = now;
    } else if (now > queue.lastShortAt + shortageEnd) {
        queue.shortSince = Instant();
    }
    if (this->expectedWait(name, now) <= queue.overloadTarget / overloadEndDivisor)
        queue.overloadTarget = Milliseconds(0);
}

Milliseconds Intake::expectedWait(const std::string &name, Instant now) const
{
    const auto found = this->queues.find(name);
    if (found == this->queues.end() || found->second.shortSince == Instant())
        return Milliseconds(0);
    const Queue &queue = found->second;
    const double work = queue.waiting.total();
    const double perMs = queue.started.at(now) / 1000.0;
    if (work >= perMs * static_cast<double>(maxWait.count()))
        return work > 0.0 ? maxWait : Milliseconds(0);
    return Milliseconds(static_cast<std::int64_t>(work / perMs));
}

IntakeReport Intake::takeReport()
{
    return std::exchange(this->report, IntakeReport());
}

} // namespace guavavalve::workflows
