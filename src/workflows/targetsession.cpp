#include "workflows/targetsession.h"

#include "workflows/decisionlog.h"

#include <algorithm>
#include <utility>

namespace guavavalve::workflows {

namespace {

/// Questions in a row without an answer after which no lease is renewed: with a path that is cut
/// one way they would go on renewing it for ever. The next question is answered at once, and after
/// it the lease is renewed again.
constexpr unsigned blindQuestions = 1;
constexpr std::int64_t perThousand = 1000;

} // namespace

TargetSession::TargetSession(IncarnationId incarnation, TargetIdentity identity, std::uint64_t term,
                             SessionLimits limits, TargetPort &port, Hooks hooks, Clock clock)
    : number(incarnation)
    , who(std::move(identity))
    , term(term)
    , limits(limits)
    , port(port)
    , hooks(std::move(hooks))
    , clock(std::move(clock))
{
    // An earlier controller may have granted a whole lease up to this moment.
    this->lapsesAt = this->clock() + this->limits.lease
        + this->limits.lease * this->limits.clockDrift / perThousand + this->limits.leaseMargin;
}

void TargetSession::begin()
{
    this->hold();
}

void TargetSession::end()
{
    this->hasEnded = true;
}

void TargetSession::adopt(const TaskAddress &task, RunNumber run)
{
    Run adopted;
    adopted.run = run;
    this->runs[task] = std::move(adopted);
}

void TargetSession::start(StartOrder order, bool isTrial)
{
    const TaskAddress task = order.task;
    Run run;
    run.run = order.run;
    run.phase = Phase::Sending;
    run.placedAt = this->clock();
    run.order = std::move(order);
    run.order.leaveBy = run.placedAt + this->limits.startPatience;
    this->runs[task] = std::move(run);
    if (isTrial)
        this->trialUntil = this->clock() + this->limits.earlyLoss;
    ++this->unansweredStarts;
    this->sendStart(task);
}

bool TargetSession::stop(const TaskAddress &task)
{
    const auto found = this->runs.find(task);
    if (found == this->runs.end() || found->second.phase == Phase::Over
        || found->second.isStopWanted)
        return false;
    found->second.isStopWanted = true;
    this->sendStop(task, found->second.run);
    return true;
}

void TargetSession::committed()
{
    if (this->reportsUnderWay > 0)
        --this->reportsUnderWay;
    if (this->reportsUnderWay > 0)
        return;
    this->stored = this->seen;
    for (auto run = this->runs.begin(); run != this->runs.end();)
        run = run->second.phase == Phase::Over ? this->runs.erase(run) : std::next(run);
    if (std::exchange(this->waitsForStore, false))
        this->hold();
}

void TargetSession::heard(bool isReady, Milliseconds coldFor)
{
    this->heardAt = this->clock();
    this->reportsReady = isReady;
    this->coldUntil = this->heardAt + coldFor;
    this->noteUsable();
}

void TargetSession::setEvacuated(bool nowEvacuated)
{
    this->isEvacuated = nowEvacuated;
}

void TargetSession::declareOver()
{
    this->reportLost();
    this->end();
}

/// Guards against a task that is run again although its end was listed: a target answers its last
/// question as it says goodbye.
void TargetSession::leave(std::function<void()> gone)
{
    if (this->hasEnded || this->isLeaving)
        return;
    this->isLeaving = true;
    this->whenGone = std::move(gone);
    this->noteUsable();
    if (this->isHolding)
        this->later(this->limits.farewellLimit, [this] { this->finishLeaving(); });
    else
        this->finishLeaving();
}

void TargetSession::takeFarewell(const Result<HoldAnswer> &answer)
{
    std::vector<RunEnd> over;
    if (answer && answer.value().reply == OrderReply::Done)
        this->takeEnds(answer.value(), over);
    if (!over.empty()) {
        ++this->reportsUnderWay;
        this->hooks.runsOver(std::move(over));
    }
    this->finishLeaving();
}

void TargetSession::finishLeaving()
{
    this->declareOver();
    if (const auto gone = std::exchange(this->whenGone, nullptr))
        gone();
}

void TargetSession::tick()
{
    if (this->hasEnded)
        return;
    if (this->failures >= blindQuestions && this->clock() > this->lapsesAt && this->hasRunList) {
        this->hasRunList = false; // what it says next is compared with an empty table
        this->reportLost();
    } else if (this->failures > 0 && this->clock() > this->lapsesAt && !this->runs.empty()) {
        this->reportLost();
    }
    this->noteUsable();
}

bool TargetSession::isUsable() const
{
    const Instant now = this->clock();
    return !this->isOver() && this->hasRunList && !this->isFenced && this->reportsReady
        && this->failures == 0 && this->foreign.empty() && now >= this->unreachableUntil
        && now < this->answeredAt + this->limits.holdWait + this->limits.orderLimit + this->ownLag()
        && !this->hasUnansweredStart(now);
}

Microseconds TargetSession::ownLag() const
{
    return this->hooks.ownLag ? this->hooks.ownLag() : Microseconds(0);
}

/// Guards against a target that is given work for 1.7 s after it was cut off, until a question that
/// it may answer late is over: all of that would wait for its lease to run out.
bool TargetSession::hasUnansweredStart(Instant now) const
{
    if (this->unansweredStarts == 0)
        return false;
    const Instant since = now - this->limits.startPatience - this->ownLag();
    return std::any_of(this->runs.begin(), this->runs.end(), [&](const auto &run) {
        return run.second.phase == Phase::Sending && !run.second.isStopWanted
            && since > run.second.placedAt;
    });
}

bool TargetSession::isForgettable(Milliseconds silence) const
{
    const Instant now = this->clock();
    return this->runs.empty() && now > this->heardAt + silence && now > this->answeredAt + silence
        && now > this->lapsesAt;
}

bool TargetSession::hasBegun(const TaskAddress &task) const
{
    const auto found = this->runs.find(task);
    return found != this->runs.end() && (found->second.wasListed || found->second.wasStarted);
}

void TargetSession::noteUsable()
{
    const bool isNow = this->isUsable();
    if (std::exchange(this->wasUsable, isNow) == isNow)
        return;
    const auto age =
        this->answeredAt == Instant{} ? Microseconds{} : this->clock() - this->answeredAt;
    logTargetUsable(this->who, isNow,
                    {this->reportsReady, this->hasRunList, this->isFenced, this->failures,
                     this->foreign.size(), std::chrono::duration_cast<Milliseconds>(age)});
    this->hooks.usableChanged();
}

void TargetSession::later(Microseconds delay, std::function<void()> action)
{
    this->hooks.runAfter(delay, [weak = this->weak_from_this(), action = std::move(action)] {
        const auto self = weak.lock();
        if (self && !self->hasEnded)
            action();
    });
}

/// A lease for the target's own clock, and the time by which it is over for certain.
///
/// Guards against a run that is started elsewhere while it still goes on here: the target counts
/// on a clock that may be slow, and from a reading that was taken before the answer arrived. A
/// controller that has lost its followers, but not its targets, grants nothing more: the next one
/// counts the leases of this one from its own election.
std::int64_t TargetSession::grantLease()
{
    if (this->answeredAt == Instant{} || this->failures >= blindQuestions
        || !this->hooks.isCurrent())
        return 0;
    const Instant now = this->clock();
    const auto since = std::chrono::duration_cast<Milliseconds>(now - this->answeredAt);
    const Milliseconds drift = this->limits.lease * this->limits.clockDrift / perThousand;
    const Milliseconds sinceDrift = since * this->limits.clockDrift / perThousand;
    this->lapsesAt =
        std::max(this->lapsesAt,
                 now + this->limits.lease + drift + 2 * sinceDrift + this->limits.leaseMargin);
    this->leaseUntilMs = this->clockMs + since.count() + this->limits.lease.count();
    this->leaseEndsAt = now + this->limits.lease;
    return this->leaseUntilMs;
}

/// Starts do not draw the lease out while half of it is left.
///
/// Guards against leases that grow by orders that nobody answers: a target that was cut off one way
/// kept its lease for two questions longer, 3.5 s, and with it the work that could run elsewhere.
std::int64_t TargetSession::leaseForStart()
{
    const bool isEnough = this->clock() + this->limits.lease / 2 <= this->leaseEndsAt;
    if (isEnough && this->failures < blindQuestions && this->hooks.isCurrent())
        return this->leaseUntilMs;
    return this->grantLease();
}

void TargetSession::answered(std::int64_t targetClockMs)
{
    this->answeredAt = this->clock();
    this->failures = 0;
    if (targetClockMs != 0)
        this->clockMs = targetClockMs;
}

/// False if the session is of no more use.
bool TargetSession::takeReply(OrderReply reply)
{
    if (reply == OrderReply::OtherLife) {
        this->hooks.lifeOver();
        return false;
    }
    if (reply == OrderReply::Fenced)
        this->isFenced = true;
    return reply != OrderReply::Fenced;
}

void TargetSession::hold()
{
    if (this->isHolding || this->hasEnded)
        return;
    this->isHolding = true;
    HoldOrder order;
    order.term = this->term;
    order.lastSeen = this->stored;
    order.leaseUntilMs = this->grantLease();
    order.waitMs = this->hasRunList && this->failures == 0 ? this->limits.holdWait.count() : 0;
    const Instant now = this->clock();
    const Instant deadline = now + Milliseconds(order.waitMs) + this->limits.orderLimit;
    this->port.hold(this->who, order, deadline,
                    [weak = this->weak_from_this(), now](Result<HoldAnswer> answer) {
                        if (const auto self = weak.lock())
                            self->onHold(now, std::move(answer));
                    });
}

void TargetSession::onHold(Instant sentAt, Result<HoldAnswer> answer)
{
    this->isHolding = false;
    if (this->hasEnded)
        return;
    if (this->isLeaving) {
        this->takeFarewell(answer);
        return;
    }
    if (!answer) {
        ++this->failures;
        this->noteUsable();
        this->later(this->limits.resendPause, [this] { this->hold(); });
        return;
    }
    if (!this->takeReply(answer.value().reply))
        return;
    if (answer.value().reply != OrderReply::Done) {
        this->later(this->limits.resendPause, [this] { this->hold(); });
        return;
    }
    const bool isFirst = this->answeredAt == Instant{};
    this->answered(answer.value().clockMs);
    this->takeLists(answer.value(), sentAt);
    this->noteUsable();
    if (this->reportsUnderWay > 0)
        this->waitsForStore = true; // the next question says how far the ends are stored
    else if (isFirst || !this->foreign.empty())
        this->later(this->limits.resendPause, [this] { this->hold(); });
    else
        this->hold();
}

void TargetSession::takeLists(const HoldAnswer &answer, Instant sentAt)
{
    std::vector<RunEnd> over;
    this->takeEnds(answer, over);
    this->takeRunning(answer);
    if (!answer.isTruncated)
        this->findMissing(answer, sentAt, over);
    this->hasRunList = this->hasRunList || !answer.isTruncated;
    if (this->hooks.listed)
        this->hooks.listed(answer.running);
    if (over.empty()) {
        if (this->reportsUnderWay == 0)
            this->stored = this->seen;
        return;
    }
    ++this->reportsUnderWay;
    this->hooks.runsOver(std::move(over));
}

void TargetSession::takeEnds(const HoldAnswer &answer, std::vector<RunEnd> &over)
{
    for (const ListedEnd &end : answer.ends) {
        this->seen = std::max(this->seen, end.number);
        const auto found = this->runs.find(end.task);
        if (found == this->runs.end() || found->second.run != end.run
            || found->second.phase == Phase::Over)
            continue;
        over.push_back(this->over(end.task, found->second, end.outcome, end.checkpoint));
    }
}

void TargetSession::takeRunning(const HoldAnswer &answer)
{
    this->foreign.clear();
    for (const RunningTask &running : answer.running) {
        const auto found = this->runs.find(running.task);
        if (found == this->runs.end() || found->second.run != running.run) {
            this->foreign[running.task] = running.run;
            continue;
        }
        found->second.wasListed = true;
        if (!running.checkpoint.empty())
            found->second.checkpoint = running.checkpoint;
    }
    for (const auto &[task, run] : this->foreign)
        this->sendStop(task, run);
}

/// A run that the target neither runs nor has ended, although it had confirmed an order for it
/// before it was asked, is over; so is one of an earlier term that it does not know, because this
/// term's number makes it refuse the earlier controller's order for ever.
void TargetSession::findMissing(const HoldAnswer &answer, Instant sentAt, std::vector<RunEnd> &over)
{
    std::set<TaskAddress> running;
    for (const RunningTask &task : answer.running)
        running.insert(task.task);
    for (auto &[task, run] : this->runs) {
        if (run.phase == Phase::Over || running.count(task) != 0)
            continue;
        const bool isKnown = run.phase == Phase::Confirmed && run.confirmedAt < sentAt;
        if (run.phase == Phase::Adopted || isKnown) {
            const RunOutcome unheard =
                run.wasRefused ? RunOutcome::Refused : RunOutcome::NeverStarted;
            over.push_back(this->over(task, run, run.wasListed ? RunOutcome::Lost : unheard, {}));
        }
    }
}

RunEnd TargetSession::over(const TaskAddress &task, Run &run, RunOutcome outcome,
                           std::string checkpoint)
{
    if (std::exchange(run.phase, Phase::Over) == Phase::Sending)
        --this->unansweredStarts;
    RunEnd end;
    end.task = task;
    end.run = run.run;
    end.outcome = outcome;
    end.checkpoint = checkpoint.empty() ? run.checkpoint : std::move(checkpoint);
    return end;
}

/// The target has said that it began the run, and little more since.
bool TargetSession::isEarly(const Run &run) const
{
    return run.wasStarted && !run.isStopWanted && !this->isLeaving
        && this->answeredAt < run.confirmedAt + this->limits.earlyLoss;
}

void TargetSession::reportLost()
{
    std::vector<RunEnd> ends;
    for (auto &[task, run] : this->runs) {
        if (run.phase == Phase::Over)
            continue;
        const RunOutcome outcome = this->isEarly(run) ? RunOutcome::LostEarly : RunOutcome::Lost;
        ends.push_back(this->over(task, run, outcome, {}));
    }
    if (ends.empty())
        return;
    ++this->reportsUnderWay;
    this->hooks.runsOver(std::move(ends));
}

void TargetSession::sendStart(const TaskAddress &task)
{
    const auto found = this->runs.find(task);
    if (found == this->runs.end() || found->second.phase != Phase::Sending
        || found->second.isStopWanted || this->isOver())
        return;
    Run &run = found->second;
    run.order.leaseUntilMs = this->leaseForStart();
    if (run.order.leaseUntilMs == 0) { // it does not answer: a lease might never be seen to end
        if (!run.mayHaveLeft && this->failures >= blindQuestions)
            this->giveUpUnsent(task, run);
        else
            this->later(this->limits.resendPause, [this, task] { this->sendStart(task); });
        return;
    }
    this->port.start(
        this->who, run.order, this->clock() + this->limits.orderLimit,
        [weak = this->weak_from_this(), task, number = run.run](const Result<OrderAnswer> &answer) {
            const auto self = weak.lock();
            if (self && !self->hasEnded)
                self->onStart(task, number, answer);
        });
}

void TargetSession::onStart(const TaskAddress &task, RunNumber number,
                            const Result<OrderAnswer> &answer)
{
    if (answer && answer.value().reply != OrderReply::OtherLife)
        this->answered(answer.value().clockMs);
    const auto found = this->runs.find(task);
    if (found == this->runs.end() || found->second.run != number
        || found->second.phase != Phase::Sending)
        return;
    Run &run = found->second;
    if (!answer) {
        this->startFailed(task, run, answer.error());
        return;
    }
    if (answer.value().reply == OrderReply::Late) {
        this->sendAgain(task, run);
        return;
    }
    if (!this->takeReply(answer.value().reply))
        return;
    switch (answer.value().reply) {
    case OrderReply::Done:
    case OrderReply::Settled:
        run.phase = Phase::Confirmed;
        --this->unansweredStarts;
        run.wasStarted = answer.value().reply == OrderReply::Done;
        run.confirmedAt = this->clock();
        return;
    default:
        // An earlier send of the order may still be carried out: the stop settles it first.
        run.wasRefused = answer.value().reply == OrderReply::Refused;
        this->settleByStop(task, run);
    }
}

/// Sends the start again if an earlier send may have arrived, and else gives the run up: its task
/// can be placed elsewhere at once, where waiting for the target would cost a lease.
void TargetSession::startFailed(const TaskAddress &task, Run &run, const Error &error)
{
    const Instant now = this->clock();
    if (error.ran != Ran::No)
        run.mayHaveLeft = true;
    else if (error.code != ErrorCode::LimitExceeded) // not for want of connections on this side
        this->unreachableUntil = now + this->limits.startPatience;
    if (!run.mayHaveLeft)
        this->giveUpUnsent(task, run);
    else
        this->sendAgain(task, run);
    this->noteUsable();
}

void TargetSession::sendAgain(const TaskAddress &task, Run &run)
{
    const bool isClosed = this->isEvacuated || !this->reportsReady;
    const bool isOverdue = this->clock() > run.placedAt + this->limits.startLimit;
    if ((isClosed || isOverdue) && !run.isStopWanted)
        this->settleByStop(task, run);
    else
        this->later(this->limits.resendPause, [this, task] { this->sendStart(task); });
}

void TargetSession::giveUpUnsent(const TaskAddress &task, Run &run)
{
    ++this->reportsUnderWay;
    this->hooks.runsOver({this->over(task, run, RunOutcome::NeverStarted, {})});
}

void TargetSession::settleByStop(const TaskAddress &task, Run &run)
{
    run.isStopWanted = true;
    this->sendStop(task, run.run);
}

void TargetSession::sendStop(const TaskAddress &task, RunNumber run)
{
    StopOrder order;
    order.task = task;
    order.run = run;
    order.term = this->term;
    this->port.stop(this->who, order, this->clock() + this->limits.orderLimit,
                    [weak = this->weak_from_this(), task, run](const Result<OrderAnswer> &answer) {
                        const auto self = weak.lock();
                        if (self && !self->hasEnded)
                            self->onStop(task, run, answer);
                    });
}

void TargetSession::onStop(const TaskAddress &task, RunNumber number,
                           const Result<OrderAnswer> &answer)
{
    const auto found = this->runs.find(task);
    if (found == this->runs.end() || found->second.run != number
        || found->second.phase == Phase::Over)
        return; // it is stopped again if the next list still has it
    if (!answer
        || (answer.value().reply != OrderReply::Done
            && answer.value().reply != OrderReply::Settled)) {
        if (answer && !this->takeReply(answer.value().reply))
            return;
        this->later(this->limits.resendPause, [this, task, number] {
            const auto again = this->runs.find(task);
            if (again != this->runs.end() && again->second.run == number
                && again->second.phase != Phase::Over)
                this->sendStop(task, number);
        });
        return;
    }
    this->answered(answer.value().clockMs);
    if (std::exchange(found->second.phase, Phase::Confirmed) == Phase::Sending)
        --this->unansweredStarts;
    found->second.confirmedAt = this->clock();
}

} // namespace guavavalve::workflows
