#include "workflows/sessions/targetsession.h"

#include "workflows/log/decisionlog.h"

#include <algorithm>
#include <utility>

namespace guavavalve::workflows {

namespace {

constexpr std::int64_t perThousand = 1000;

} // namespace

TargetSession::TargetSession(IncarnationId incarnation, TargetIdentity identity,
                             SessionLimits limits, TargetPort &port, Hooks hooks, Clock clock)
    : number(incarnation)
    , targetIdentity(std::move(identity))
    , limits(limits)
    , port(port)
    , hooks(std::move(hooks))
    , clock(std::move(clock))
    , fence(this->hooks.nextFence())
    , targetClock(limits.maxClockDriftPerThousand)
{
    // An earlier controller may have granted a full lease up to this moment.
    this->leasesExpireAt = this->clock() + this->limits.lease
        + this->limits.lease * this->limits.maxClockDriftPerThousand / perThousand
        + this->limits.leaseMargin;
}

void TargetSession::begin()
{
    this->hold();
}

void TargetSession::beginResting()
{
    this->restsNow = true;
}

void TargetSession::wake()
{
    this->mayRest = false;
    if (!std::exchange(this->restsNow, false))
        return;
    this->isWaking = true;
    this->hooks.restChanged(false);
    this->hold();
}

void TargetSession::end()
{
    this->hasEnded = true;
}

void TargetSession::committed()
{
    if (this->pendingReports > 0)
        --this->pendingReports;
    if (this->pendingReports > 0)
        return;
    this->highestStoredEnd = this->highestListedEnd;
    for (auto run = this->runs.begin(); run != this->runs.end();)
        run = run->second.phase == Phase::Over ? this->runs.erase(run) : std::next(run);
    if (this->hasEnded)
        return;
    const bool isPollDue = std::exchange(this->isAwaitingStore, false);
    if (this->isLeaving && this->runs.empty())
        this->finishLeaving(DepartureEnd::NothingPlaced);
    else if (isPollDue)
        this->hold();
}

void TargetSession::recordHeartbeat(bool isReady, Milliseconds coldFor)
{
    this->lastHeartbeatAt = this->clock();
    this->reportsReady = isReady;
    this->coldUntil = this->lastHeartbeatAt + coldFor;
    this->updateUsable();
}

void TargetSession::setEvacuated(bool nowEvacuated)
{
    this->isEvacuated = nowEvacuated;
}

/// Guards against two runs of a task at once: the answer to the target's announcement may be lost,
/// and it then runs on for seconds. A broken or refused connection does not prove that it has
/// ended: networks cause both, and a process may close its listener before its tasks have ended.
void TargetSession::leave(std::function<void(DepartureEnd how)> done)
{
    if (this->isOver())
        return;
    this->isLeaving = true;
    this->onLeft = std::move(done);
    this->updateUsable();
    if (this->runs.empty())
        this->finishLeaving(DepartureEnd::NothingPlaced);
    else if (!this->isAwaitingStore)
        this->hold();
}

void TargetSession::finishLeaving(DepartureEnd how)
{
    this->declareLost();
    if (const auto done = std::exchange(this->onLeft, nullptr))
        done(how);
}

void TargetSession::tick()
{
    if (this->hasEnded || this->restsNow)
        return;
    if (this->settles) {
        this->reportExpired();
        if (this->unsettledRuns == 0)
            this->end();
        return;
    }
    if (this->clock() > this->leasesExpireAt) {
        if (this->isLeaving) {
            this->reportExpired();
            if (this->isEveryRunOver())
                this->finishLeaving(DepartureEnd::LeaseExpired);
            return;
        }
        if (this->failures >= maxUnansweredPolls) {
            this->hasRunList = false; // its next list is compared with the runs in doubt alone
            this->reportExpired();
        }
    }
    this->updateUsable();
}

bool TargetSession::isUsable() const
{
    const Instant now = this->clock();
    return !this->isOver() && !this->restsNow && this->hasRunList && !this->isFenced
        && this->reportsReady && this->failures == 0 && this->foreignRuns.empty()
        && this->unsettledRuns == 0 && now >= this->unreachableUntil
        && now < this->targetClock.lastReceived() + this->limits.maxHoldWait
            + this->limits.orderTimeout + this->loopLag()
        && !this->hasUnansweredStart(now);
}

Microseconds TargetSession::loopLag() const
{
    return this->hooks.loopLag ? this->hooks.loopLag() : Microseconds(0);
}

/// Guards against assigning work for 1.7 s to a target that was cut off, until the poll that it may
/// answer late has timed out: all that work would have to wait for the lease to expire.
bool TargetSession::hasUnansweredStart(Instant now) const
{
    if (this->unansweredStarts == 0)
        return false;
    const Instant since = now - this->limits.unansweredStartLimit - this->loopLag();
    return std::any_of(this->runs.begin(), this->runs.end(), [&](const auto &run) {
        return run.second.phase == Phase::Sending && !run.second.isStopRequested
            && since > run.second.placedAt;
    });
}

bool TargetSession::isForgettable(Milliseconds silence) const
{
    const Instant now = this->clock();
    return this->runs.empty() && now > this->lastHeartbeatAt + silence
        && now > this->targetClock.lastReceived() + silence && now > this->leasesExpireAt;
}

bool TargetSession::hasBegun(const TaskAddress &task) const
{
    const auto found = this->runs.find(task);
    return found != this->runs.end() && (found->second.wasListed || found->second.wasStarted);
}

void TargetSession::updateUsable()
{
    const bool isUnknown = this->restsNow || this->isWaking;
    if (isUnknown && this->reportsReady && !this->isOver())
        return;
    const bool isNow = this->isUsable();
    if (std::exchange(this->wasUsable, isNow) == isNow)
        return;
    const auto age =
        this->hasAnswered() ? this->clock() - this->targetClock.lastReceived() : Microseconds{};
    logTargetUsable(this->targetIdentity, isNow,
                    {this->reportsReady, this->hasRunList, this->isFenced, this->failures,
                     this->foreignRuns.size(), this->unsettledRuns,
                     std::chrono::duration_cast<Milliseconds>(age)});
    this->hooks.usableChanged();
}

void TargetSession::runLater(Microseconds delay, std::function<void()> action)
{
    this->hooks.runAfter(delay, [weak = this->weak_from_this(), action = std::move(action)] {
        const auto self = weak.lock();
        if (self && !self->hasEnded)
            action();
    });
}

/// Returns the end of a new lease by the target's own clock, or 0 if none may be granted, and
/// updates the time by which every lease has certainly expired.
///
/// Guards against starting a run elsewhere while it still runs here: the target's clock may be
/// slow, and it was read before the answer arrived. A controller that has lost its followers, but
/// not its targets, grants no more leases, because the next controller counts this one's leases
/// from its own election. A target that has announced its end gets none either: if the end itself
/// goes unnoticed, its work is restarted one lease later at most.
std::int64_t TargetSession::grantLease()
{
    if (!this->hasAnswered() || this->failures >= maxUnansweredPolls || this->isOver()
        || !this->hooks.isCurrent())
        return 0;
    const Instant now = this->clock();
    const auto since =
        std::chrono::duration_cast<Milliseconds>(now - this->targetClock.lastReceived());
    const Milliseconds drift =
        this->limits.lease * this->limits.maxClockDriftPerThousand / perThousand;
    const Milliseconds sinceDrift = since * this->limits.maxClockDriftPerThousand / perThousand;
    this->leasesExpireAt =
        std::max(this->leasesExpireAt,
                 now + this->limits.lease + drift + 2 * sinceDrift + this->limits.leaseMargin);
    this->laterLeasesExpireAt = now + settlingTime(this->limits);
    this->leaseUntilMs = this->targetClock.estimateAt(now) + this->limits.lease.count();
    this->leaseEndsAt = now + this->limits.lease;
    return this->leaseUntilMs;
}

/// Starts do not extend the lease while at least half of it is left.
///
/// Guards against leases that are extended by orders nobody answers: a target that was cut off in
/// one direction kept its lease for two polls longer, 3.5 s, and with it work that could have run
/// elsewhere.
std::int64_t TargetSession::leaseForStart()
{
    const bool isEnough = this->clock() + this->limits.lease / 2 <= this->leaseEndsAt;
    if (isEnough && this->failures < maxUnansweredPolls && this->hooks.isCurrent())
        return this->leaseUntilMs;
    return this->grantLease();
}

void TargetSession::answered(std::int64_t targetClockMs)
{
    this->targetClock.answered(targetClockMs, this->clock());
    this->failures = 0;
    this->wasDoubtLogged = false;
}

/// \a fence: the token of the order. Returns false if its incarnation is over.
///
/// Guards against a target that is lost for the whole term because another process under its name,
/// or a report that claims to be of one, was polled with a higher token of this controller.
bool TargetSession::processReply(OrderReply reply, std::uint64_t ofFence)
{
    if (reply == OrderReply::OtherIncarnation || reply == OrderReply::Reborn) {
        this->hooks.incarnationOver(reply == OrderReply::Reborn ? IncarnationEnd::Reborn
                                                                : IncarnationEnd::Replaced);
        return false;
    }
    if (reply == OrderReply::Fenced && ofFence >= this->fence) {
        this->isFenced = true; // by a later controller, unless the next token is accepted
        this->renewFence();
    }
    return true;
}

void TargetSession::renewFence()
{
    this->fence = this->hooks.nextFence();
}

/// True if the answer claims to be of this incarnation, and its clock says that it is of a later
/// one: that one has carried out the order, and not all answers name the incarnation that gives
/// them.
bool TargetSession::isOfLaterClock(OrderReply reply, std::int64_t clockMs, Instant sentAt) const
{
    return reply != OrderReply::Reborn && reply != OrderReply::OtherIncarnation
        && this->targetClock.isBeforePossible(clockMs, sentAt);
}

Error TargetSession::unknownAnswer()
{
    Error error = failure(ErrorCode::Unavailable, "the answer is of a later incarnation");
    error.ran = Ran::Unknown;
    return error;
}

bool TargetSession::isEveryRunOver() const
{
    return std::all_of(this->runs.begin(), this->runs.end(),
                       [](const auto &run) { return run.second.phase == Phase::Over; });
}

void TargetSession::hold()
{
    if (this->isPolling || this->hasEnded)
        return;
    if (this->isFenced && !this->hooks.isCurrent()) { // a later controller may lead
        this->runLater(this->limits.resendDelay, [this] { this->hold(); });
        return;
    }
    this->isPolling = true;
    HoldOrder order;
    order.fence = this->fence;
    // A later incarnation counts its ends anew and would forget those up to this number.
    const bool isKnown = this->wasPollAnswered && !this->isWaking && !this->settles;
    order.lastSeen = isKnown ? this->highestStoredEnd : 0;
    order.leaseUntilMs = this->grantLease();
    const bool mayWait =
        this->hasRunList && this->failures == 0 && !this->isWaking && !this->settles;
    order.waitMs = mayWait ? this->limits.maxHoldWait.count() : 0;
    const Instant now = this->clock();
    const Instant deadline = now + Milliseconds(order.waitMs) + this->limits.orderTimeout;
    if (order.leaseUntilMs != 0)
        this->recordGrant(now);
    this->port.hold(this->targetIdentity, order, deadline,
                    [weak = this->weak_from_this(), order, now](Result<HoldAnswer> answer) {
                        if (const auto self = weak.lock())
                            self->onHold(order, now, std::move(answer));
                    });
}

void TargetSession::onHold(const HoldOrder &order, Instant sentAt, Result<HoldAnswer> answer)
{
    this->isPolling = false;
    this->wasPolled = true;
    if (this->hasEnded)
        return;
    if (this->settles) {
        this->onSettlingHold(order, sentAt, answer);
        return;
    }
    if (answer && this->isOfLaterClock(answer.value().reply, answer.value().clockMs, sentAt))
        answer = unknownAnswer();
    else if (isFinished(answer) && order.leaseUntilMs != 0)
        this->finishGrant(sentAt);
    if (this->isLeaving && answer && answer.value().reply == OrderReply::OtherIncarnation) {
        this->finishLeaving(DepartureEnd::OtherIncarnation);
        return;
    }
    this->wasPollAnswered = answer && answer.value().reply == OrderReply::Done;
    const bool wasWaking = std::exchange(this->isWaking, false);
    if (!answer) {
        ++this->failures;
        this->fenceOffCopies();
        this->updateUsable();
        this->runLater(this->isLeaving ? this->limits.departedPollDelay : this->limits.resendDelay,
                       [this] { this->hold(); });
        return;
    }
    if (!this->processReply(answer.value().reply, order.fence))
        return;
    if (answer.value().reply != OrderReply::Done) {
        this->updateUsable();
        this->runLater(this->limits.resendDelay, [this] { this->hold(); });
        return;
    }
    const bool isFirst = !this->hasAnswered();
    this->isFenced = false;
    this->answered(answer.value().clockMs);
    this->processLists(order, answer.value(), sentAt);
    this->updateUsable();
    if (wasWaking)
        this->hooks.usableChanged();
    if (this->mayRest && this->isIdle(answer.value())) {
        this->restsNow = true;
        this->hooks.restChanged(true);
        return;
    }
    this->pollAgain(isFirst);
}

void TargetSession::pollAgain(bool isFirst)
{
    if (this->pendingReports > 0)
        this->isAwaitingStore = true; // the next poll says which ends are stored
    else if (isFirst || !this->foreignRuns.empty())
        this->runLater(this->limits.resendDelay, [this] { this->hold(); });
    else
        this->hold();
}

/// True if nothing is placed on the target, and nothing is left to tell it or to learn from it.
bool TargetSession::isIdle(const HoldAnswer &answer) const
{
    return this->hasRunList && this->reportsReady && this->runs.empty() && this->foreignRuns.empty()
        && this->pendingReports == 0 && answer.running.empty() && answer.ends.empty()
        && !answer.isTruncated;
}

void TargetSession::processLists(const HoldOrder &order, const HoldAnswer &answer, Instant sentAt)
{
    std::vector<RunEnd> over;
    this->processEnds(answer, over);
    this->processRunning(answer);
    if (!answer.isTruncated)
        this->findMissing(order, answer, sentAt, over);
    this->hasRunList = this->hasRunList || !answer.isTruncated;
    if (this->hooks.listed && !this->settles) // the lists of a later incarnation
        this->hooks.listed(answer.running);
    if (over.empty()) {
        if (this->pendingReports == 0)
            this->highestStoredEnd = this->highestListedEnd;
        return;
    }
    this->report(std::move(over));
}

void TargetSession::processEnds(const HoldAnswer &answer, std::vector<RunEnd> &over)
{
    for (const ListedEnd &end : answer.ends) {
        this->highestListedEnd = std::max(this->highestListedEnd, end.number);
        const auto found = this->runs.find(end.task);
        if (found == this->runs.end() || found->second.run != end.run
            || found->second.phase == Phase::Over)
            continue;
        const Run &run = found->second;
        const bool isWhole = run.wasStarted && run.order.checkpoint.empty() && !run.isStopRequested
            && run.unsettledFrom == IncarnationId::None;
        over.push_back(this->over(end.task, found->second, end.outcome, end.checkpoint));
        if (isWhole)
            over.back().took =
                std::chrono::duration_cast<Milliseconds>(this->clock() - run.confirmedAt);
    }
}

void TargetSession::processRunning(const HoldAnswer &answer)
{
    this->foreignRuns.clear();
    for (const RunningTask &running : answer.running) {
        const auto found = this->runs.find(running.task);
        if (found == this->runs.end() || found->second.run != running.run) {
            this->foreignRuns[running.task] = running.run;
            continue;
        }
        found->second.wasListed = true;
        const bool isAdoptedHere = found->second.phase == Phase::Adopted
            && found->second.unsettledFrom == IncarnationId::None;
        if (isAdoptedHere && this->clock() > found->second.copiesExpireAt)
            found->second.copiesExpireAt = {}; // no later incarnation carries out its start
        if (!running.checkpoint.empty())
            found->second.checkpoint = running.checkpoint;
        // A session that settles reads no answers to stops: it sends them until the run has ended.
        const bool isStopDue = found->second.unsettledFrom != IncarnationId::None
            && (!std::exchange(found->second.isStopRequested, true) || this->settles);
        if (isStopDue)
            this->sendStop(running.task, running.run);
    }
    for (const auto &[task, run] : this->foreignRuns)
        this->sendStop(task, run);
}

/// Reports runs that the target neither lists as running nor as ended: those that it had confirmed
/// an order for before the list was requested, and those that only orders with lower tokens than
/// that of the poll may start, because the target rejects these from then on.
void TargetSession::findMissing(const HoldOrder &order, const HoldAnswer &answer, Instant sentAt,
                                std::vector<RunEnd> &over)
{
    std::set<TaskAddress> running;
    for (const RunningTask &task : answer.running)
        running.insert(task.task);
    for (auto &[task, run] : this->runs) {
        if (run.phase == Phase::Over || running.count(task) != 0)
            continue;
        const bool isKnown = run.phase == Phase::Confirmed && run.confirmedAt < sentAt;
        if (isKnown || run.startFence < order.fence) {
            RunOutcome outcome = run.wasRefused ? RunOutcome::Refused : RunOutcome::NeverStarted;
            if (run.unsettledFrom != IncarnationId::None)
                outcome = run.ifAbsent;
            else if (run.wasListed)
                outcome = RunOutcome::Lost;
            over.push_back(this->over(task, run, outcome, {}));
        }
    }
}

RunEnd TargetSession::over(const TaskAddress &task, Run &run, RunOutcome outcome,
                           std::string checkpoint)
{
    if (std::exchange(run.phase, Phase::Over) == Phase::Sending)
        --this->unansweredStarts;
    if (run.unsettledFrom != IncarnationId::None) {
        --this->unsettledRuns;
        this->settledFrom.push_back(run.unsettledFrom);
    }
    RunEnd end;
    end.task = task;
    end.run = run.run;
    end.outcome = outcome;
    end.checkpoint = checkpoint.empty() ? run.checkpoint : std::move(checkpoint);
    return end;
}

/// True if the target was last heard within the early-loss window after it had confirmed the start
/// of the run.
bool TargetSession::isEarly(const Run &run) const
{
    return run.wasStarted && !run.isStopRequested && !this->isLeaving
        && this->targetClock.lastReceived() < run.confirmedAt + this->limits.earlyLossWindow;
}

void TargetSession::report(std::vector<RunEnd> ends)
{
    ++this->pendingReports;
    this->hooks.runsOver(std::move(ends));
    for (const IncarnationId placedOn : std::exchange(this->settledFrom, {}))
        this->hooks.settled(placedOn);
}

} // namespace guavavalve::workflows
