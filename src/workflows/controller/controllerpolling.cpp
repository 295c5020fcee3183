#include "workflows/controller/controller.h"

#include <memory>
#include <utility>

// Which targets are polled, and when.

namespace guavavalve::workflows {

namespace {

/// Number of targets that a new controller polls at once, and then after each pause: 2,000 a
/// second.
constexpr std::size_t initialSessionBatch = 400;
constexpr std::size_t sessionBatch = 20;
constexpr Milliseconds sessionBatchInterval{10};
/// Number of resting targets that are polled for the first time in each tick.
constexpr std::size_t restingBatch = 20;

} // namespace

/// Targets with runs are polled first, because their leases expire.
///
/// Guards against a controller that polls thousands of targets at once: the replicas had no
/// processor time left for the log and elected another leader, which did the same.
void Controller::openSessions()
{
    const IncarnationTable known =
        this->machine.read([](const WorkflowStore &store) { return store.incarnations(); });
    const auto superseded = this->supersededRuns();
    for (const auto &[incarnation, record] : known) {
        if (this->unsettledCounts.count(incarnation) != 0)
            continue; // its runs are settled by the session of the newest incarnation
        TargetSession &session = this->openSession(incarnation, record);
        const auto inherited = superseded.find(incarnation);
        if (inherited != superseded.end())
            session.inherit(inherited->second);
        const bool isInDoubt =
            this->machine.read([number = incarnation](const WorkflowStore &store) {
                return store.losses().hasOpenLosses(number);
            });
        if (!record.placed.empty() || isInDoubt || inherited != superseded.end()) {
            this->sessionsToStart.push_back(incarnation);
            continue;
        }
        session.beginResting();
        this->rested(incarnation);
        this->neverPolled.insert(incarnation);
    }
    WorkingSetDemand demand;
    demand.known = this->incarnations.size();
    demand.polled = this->polled.size();
    this->wakeTargets(this->workingSet.missing(demand, this->options.clock()));
    this->startSessions(initialSessionBatch);
}

void Controller::startSessions(std::size_t maxCount)
{
    for (std::size_t i = 0; i < maxCount && !this->sessionsToStart.empty(); ++i) {
        const auto found = this->incarnations.find(this->sessionsToStart.front());
        this->sessionsToStart.pop_front();
        if (found == this->incarnations.end())
            continue;
        if (found->second.session->isResting())
            found->second.session->wake();
        else
            found->second.session->begin();
    }
    if (this->sessionsToStart.empty() || std::exchange(this->isStartQueued, true))
        return;
    this->options.runAfter(sessionBatchInterval, [this, alive = this->alive, inTerm = this->term] {
        if (!*alive || !this->leads || this->term != inTerm)
            return;
        this->isStartQueued = false;
        this->startSessions(sessionBatch);
    });
}

/// Polls as many targets as the work needs, and lets the others rest.
void Controller::adjustWorkingSet(const Plan &made)
{
    WorkingSetDemand demand;
    demand.known = this->incarnations.size();
    demand.polled = this->polled.size();
    demand.open = made.summary.openTargets;
    demand.capacity = made.summary.capacity;
    demand.free = made.summary.free;
    demand.waiting = made.summary.waiting;
    demand.isShort = made.summary.isShort;
    this->machine.read([&](const WorkflowStore &store) {
        for (const auto &[account, placed] : store.placedByAccount())
            demand.placed += placed;
    });
    const Instant now = this->options.clock();
    const std::size_t missing = this->workingSet.missing(demand, now);
    this->wakeTargets(missing);
    if (missing == 0)
        this->restTargets(this->workingSet.surplus(demand, now));
    else if (!this->isStartQueued)
        this->startSessions(sessionBatch);
}

/// Queues \a count resting targets to be polled, as many as there are that may accept work.
void Controller::wakeTargets(std::size_t count)
{
    for (auto next = this->resting.begin(); next != this->resting.end() && count > 0;) {
        const IncarnationId incarnation = *next;
        const auto found = this->incarnations.find(incarnation);
        if (found == this->incarnations.end() || !found->second.session->isAvailable()) {
            ++next;
            continue;
        }
        ++next;
        this->woken(incarnation);
        this->sessionsToStart.push_back(incarnation);
        --count;
    }
}

/// Lets up to \a count idle targets rest: slow ones first, and then the newest, so that the targets
/// that are polled are mostly the same ones.
void Controller::restTargets(std::size_t count)
{
    for (const bool isSlow : {true, false}) {
        for (auto next = this->polled.rbegin(); next != this->polled.rend() && count > 0; ++next) {
            TargetSession &session = *next->second;
            const bool hasGrade = (this->speeds.grade(next->first) == SpeedGrade::Slow) == isSlow;
            if (!hasGrade || session.orders() > 0 || !session.isUsable())
                continue;
            session.allowRest();
            --count;
        }
    }
}

void Controller::rested(IncarnationId incarnation)
{
    this->polled.erase(incarnation);
    this->resting.insert(incarnation);
}

void Controller::woken(IncarnationId incarnation)
{
    const auto found = this->incarnations.find(incarnation);
    if (found == this->incarnations.end())
        return;
    this->resting.erase(incarnation);
    this->neverPolled.erase(incarnation);
    this->polled[incarnation] = found->second.session;
}

/// Polls one target after the other that has not been polled in this term, without a hurry: nothing
/// is placed on it, but it may still list ends that an earlier controller has stored.
void Controller::startNextResting()
{
    for (std::size_t i = 0; i < restingBatch && !this->neverPolled.empty(); ++i) {
        const IncarnationId incarnation = *this->neverPolled.begin();
        this->neverPolled.erase(this->neverPolled.begin());
        const auto found = this->incarnations.find(incarnation);
        if (found == this->incarnations.end())
            continue;
        found->second.session->wake();
        found->second.session->allowRest();
    }
}

} // namespace guavavalve::workflows
