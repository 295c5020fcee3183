#include "workflows/sessions/targetsession.h"

#include "workflows/log/decisionlog.h"

#include <algorithm>
#include <utility>

// Runs that an order may still start on a later incarnation of their target, and losses of runs.

namespace guavavalve::workflows {

namespace {

constexpr std::int64_t perThousand = 1000;

} // namespace

void TargetSession::adopt(const TaskAddress &task, RunNumber run, Instant keptUntil)
{
    Run adopted;
    adopted.run = run;
    if (keptUntil > this->clock())
        adopted.copiesExpireAt = keptUntil;
    this->runs[task] = std::move(adopted);
}

void TargetSession::declareLost()
{
    this->reportLost();
    this->end();
}

/// True if no copy of the run's start can be carried out by a later incarnation: this one has
/// listed the run, and every copy that was sent has been answered or has expired.
bool TargetSession::isBoundToIncarnation(const Run &run) const
{
    return run.wasListed && run.phase != Phase::Adopted && run.unsettledFrom == IncarnationId::None
        && (run.unansweredCopies == 0 || this->clock() > run.copiesExpireAt);
}

/// The time by which a later incarnation neither starts the run nor still runs it; not set if it
/// does not have to be waited for.
Instant TargetSession::inDoubtUntil(const Run &run) const
{
    const bool mayStart = run.unansweredCopies > 0 || run.phase == Phase::Adopted;
    if (!mayStart || run.copiesExpireAt == Instant{} || !run.isHeldInDoubt)
        return {};
    return std::max(run.copiesExpireAt, this->laterLeasesExpireAt);
}

/// Guards against two runs of a task at once: a start that nobody has answered reaches a later
/// incarnation after the poll that could have shown it there. The polls of a silent target carry a
/// higher token than such starts, so whatever incarnation answers one of them rejects them.
void TargetSession::fenceOffCopies()
{
    const bool mayStart =
        std::any_of(this->runs.begin(), this->runs.end(), [this](const auto &run) {
            return run.second.unansweredCopies > 0 && run.second.startFence >= this->fence;
        });
    if (mayStart)
        this->renewFence();
}

/// Guards against two runs of a task at once: a copy of its start, sent or answered around the
/// target's restart, may have reached the later incarnation. That one may not be heard of for long,
/// so it is polled at the address that is known.
std::size_t TargetSession::beginSettling()
{
    std::size_t unsettledHere = 0;
    if (this->hasEnded || std::exchange(this->settles, true))
        return unsettledHere;
    this->isLeaving = false;
    const Instant until = this->clock() + settlingTime(this->limits);
    std::vector<RunEnd> lost;
    for (auto &[task, run] : this->runs) {
        if (run.phase == Phase::Over)
            continue;
        if (this->isBoundToIncarnation(run)) {
            lost.push_back(this->over(task, run, this->lossOf(run), {}));
            continue;
        }
        run.copiesExpireAt = std::max(this->inDoubtUntil(run), until);
        run.isHeldInDoubt = true;
        if (run.unsettledFrom == IncarnationId::None) {
            run.ifAbsent = this->lossOf(run);
            run.unsettledFrom = this->number;
            ++this->unsettledRuns;
            ++unsettledHere;
        }
        if (std::exchange(run.phase, Phase::Adopted) == Phase::Sending)
            --this->unansweredStarts;
    }
    this->renewFence();
    if (!lost.empty())
        this->report(std::move(lost));
    if (this->unsettledRuns == 0)
        this->end();
    else
        this->hold();
    return unsettledHere;
}

void TargetSession::onSettlingHold(const HoldOrder &order, Instant sentAt,
                                   const Result<HoldAnswer> &answer)
{
    if (answer && answer.value().reply == OrderReply::OtherIncarnation) {
        this->declareLost(); // it rejects orders for this target's name
        return;
    }
    if (answer && answer.value().reply == OrderReply::Fenced && order.fence >= this->fence)
        this->renewFence();
    if (answer && answer.value().reply == OrderReply::Reborn)
        this->processLists(order, answer.value(), sentAt);
    if (this->unsettledRuns == 0)
        this->end();
    else
        this->runLater(this->limits.resendDelay, [this] { this->hold(); });
}

std::vector<UnsettledRun> TargetSession::handOver()
{
    std::vector<UnsettledRun> unsettled;
    for (const auto &[task, run] : this->runs) {
        if (run.phase == Phase::Over)
            continue;
        UnsettledRun one;
        one.placedOn = run.unsettledFrom;
        one.ifAbsent.task = task;
        one.ifAbsent.run = run.run;
        one.ifAbsent.outcome = run.ifAbsent;
        one.ifAbsent.checkpoint = run.checkpoint;
        one.giveUpAt = run.copiesExpireAt;
        unsettled.push_back(std::move(one));
    }
    this->unsettledRuns = 0;
    this->end();
    return unsettled;
}

void TargetSession::inherit(const std::vector<UnsettledRun> &unsettled)
{
    if (unsettled.empty())
        return;
    for (const UnsettledRun &one : unsettled) {
        Run run;
        run.run = one.ifAbsent.run;
        run.checkpoint = one.ifAbsent.checkpoint;
        run.unsettledFrom = one.placedOn;
        run.ifAbsent = one.ifAbsent.outcome;
        run.copiesExpireAt = one.giveUpAt;
        run.startFence = this->fence;
        this->runs[one.ifAbsent.task] = std::move(run);
        ++this->unsettledRuns;
    }
    this->renewFence(); // so that a poll that is under way settles none of them
    this->updateUsable();
}

Milliseconds TargetSession::settlingTime(const SessionLimits &limits)
{
    const Milliseconds drift = limits.longestLease * limits.maxClockDriftPerThousand / perThousand;
    return limits.orderTimeout + limits.longestLease + drift + limits.leaseMargin;
}

void TargetSession::recordGrant(Instant sentAt)
{
    const auto expired =
        this->unansweredGrants.lower_bound(sentAt - this->limits.longestOrderDelay);
    this->unansweredGrants.erase(this->unansweredGrants.begin(), expired);
    this->unansweredGrants.insert(sentAt);
}

void TargetSession::finishGrant(Instant sentAt)
{
    const auto found = this->unansweredGrants.find(sentAt);
    if (found != this->unansweredGrants.end())
        this->unansweredGrants.erase(found);
}

/// Guards against leases by the earlier incarnation's clock: they would last up to the longest one
/// on the later incarnation, which the polls have not shown yet.
void TargetSession::laterClockSeen()
{
    ++this->failures;
    this->fenceOffCopies();
    this->updateUsable();
}

Instant TargetSession::lastUnansweredGrant() const
{
    return this->unansweredGrants.empty() ? Instant{} : *this->unansweredGrants.rbegin();
}

/// Guards against two runs of a task at once: the end of a lease in an order for an earlier
/// incarnation is a time on that one's clock. It applies to all that runs on this one, for up to
/// the longest lease that the target accepts, and no later order shortens it.
void TargetSession::expectEarlierLease()
{
    this->leasesExpireAt =
        std::max(this->leasesExpireAt, this->clock() + settlingTime(this->limits));
}

RunOutcome TargetSession::lossOf(const Run &run) const
{
    if (run.unsettledFrom != IncarnationId::None)
        return run.ifAbsent;
    return this->isEarly(run) ? RunOutcome::LostEarly : RunOutcome::Lost;
}

void TargetSession::reportLost()
{
    this->reportLost([](const Run &) { return true; });
}

/// Reports the runs whose leases have expired, but for those in doubt.
void TargetSession::reportExpired()
{
    const Instant now = this->clock();
    this->reportLost([this, now](const Run &run) { return now > this->inDoubtUntil(run); });
    if (this->isEveryRunOver() || std::exchange(this->wasDoubtLogged, true))
        return;
    Instant latest{};
    std::size_t inDoubt = 0;
    for (const auto &[task, run] : this->runs) {
        inDoubt += run.phase == Phase::Over ? 0 : 1;
        latest = std::max(latest, this->inDoubtUntil(run));
    }
    logRunsInDoubt(this->targetIdentity, inDoubt,
                   std::chrono::duration_cast<Milliseconds>(latest - now));
}

void TargetSession::reportLost(const std::function<bool(const Run &run)> &isLost)
{
    std::vector<RunEnd> ends;
    for (auto &[task, run] : this->runs) {
        if (run.phase != Phase::Over && isLost(run))
            ends.push_back(this->over(task, run, this->lossOf(run), {}));
    }
    if (!ends.empty())
        this->report(std::move(ends));
}

} // namespace guavavalve::workflows
