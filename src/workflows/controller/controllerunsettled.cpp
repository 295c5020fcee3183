#include "workflows/controller/controller.h"

#include "workflows/log/decisionlog.h"

#include <algorithm>
#include <utility>

// Runs whose start orders may have reached a later incarnation of their target.

namespace guavavalve::workflows {

/// The time by which a later incarnation that has carried out the start of a run, sent by an
/// earlier controller, keeps it no longer.
///
/// Guards against two runs of a task at once: which starts were answered, and by which incarnation,
/// is known to the controller alone that sent them. It sends a start for the start timeout; what it
/// sends until it has noticed that the target does not answer extends the lease.
Instant Controller::keptUntil(const TaskAddress &task, RunNumber run) const
{
    const SessionLimits &limits = this->options.session;
    const Instant lastSent = this->machine.placedAt(task.step, run) + limits.startTimeout
        + limits.maxHoldWait + limits.orderTimeout;
    return std::min(lastSent, this->options.clock()) + TargetSession::settlingTime(limits);
}

/// True if orders for an earlier incarnation may have given the one that is registered now a lease.
/// What an earlier controller sent is not known.
bool Controller::mayHoldEarlierLease(const std::string &target) const
{
    const Instant now = this->options.clock();
    const Milliseconds longestDelay = this->options.session.longestOrderDelay;
    if (this->machine.registeredAt(target) + longestDelay < now)
        return false;
    const auto left = this->leasesLeft.find(target);
    return now < this->leadsSince + longestDelay
        || (left != this->leasesLeft.end() && now < left->second + longestDelay);
}

void Controller::recordLeaseLeft(const TargetSession &session)
{
    if (session.lastUnansweredGrant() != Instant{})
        this->leasesLeft[session.identity().name] = session.lastUnansweredGrant();
}

/// Settles the runs of an incarnation that a later one under the same name may have started, or may
/// still start. Returns false if there are none.
bool Controller::keepUnsettled(TargetSession &session)
{
    const std::size_t placedThere = session.beginSettling();
    if (session.unsettled() == 0)
        return false;
    this->unsettledCounts[session.incarnation()] = placedThere;
    logRunsUnsettled(session.identity(), session.unsettled());
    this->settling[session.identity().name] = session.incarnation();
    return true;
}

/// Hands the unsettled runs of the earlier incarnation to the session of the newest one.
void Controller::inheritUnsettled(TargetSession &session)
{
    const auto found = this->settling.find(session.identity().name);
    if (found == this->settling.end())
        return;
    const auto earlier = this->incarnations.find(found->second);
    this->settling.erase(found);
    if (earlier != this->incarnations.end())
        session.inherit(earlier->second.session->handOver());
}

/// The runs that earlier controllers placed on superseded incarnations, by the newest incarnation
/// of each target.
///
/// Guards against a new controller that reports them as lost while the newest incarnation runs
/// them.
std::map<IncarnationId, std::vector<UnsettledRun>> Controller::supersededRuns()
{
    std::map<IncarnationId, std::vector<UnsettledRun>> found;
    this->machine.read([&](const WorkflowStore &store) {
        for (const auto &[incarnation, record] : store.incarnations()) {
            const IncarnationId newest = store.newestIncarnation(record.identity.name);
            if (!store.isSuperseded(incarnation) || newest == IncarnationId::None)
                continue;
            for (const TaskAddress &task : record.placed) {
                const Workflow *workflow = store.find(task.step.workflow);
                const TaskProgress *progress = workflow == nullptr ? nullptr : workflow->task(task);
                if (progress == nullptr)
                    continue;
                UnsettledRun run;
                run.placedOn = incarnation;
                run.ifAbsent.task = task;
                run.ifAbsent.run = progress->run;
                run.giveUpAt =
                    this->options.clock() + TargetSession::settlingTime(this->options.session);
                found[newest].push_back(run);
                ++this->unsettledCounts[incarnation];
            }
        }
    });
    return found;
}

/// The end of a run that was unsettled has been queued.
void Controller::runSettled(IncarnationId placedOn)
{
    const auto found = this->unsettledCounts.find(placedOn);
    if (found != this->unsettledCounts.end() && found->second > 0)
        --found->second;
    this->forgetSettled();
}

/// Forgets the incarnations that were kept until their runs, and those of earlier ones that they
/// had inherited, were settled.
void Controller::forgetSettled()
{
    std::vector<IncarnationId> settled;
    for (const auto &[incarnation, runs] : this->unsettledCounts) {
        const auto state = this->incarnations.find(incarnation);
        const bool settles =
            state != this->incarnations.end() && state->second.session->unsettled() > 0;
        if (runs == 0 && !settles)
            settled.push_back(incarnation);
    }
    for (const IncarnationId incarnation : settled) {
        this->unsettledCounts.erase(incarnation);
        const auto state = this->incarnations.find(incarnation);
        if (state != this->incarnations.end()) {
            const auto kept = this->settling.find(state->second.session->identity().name);
            if (kept != this->settling.end() && kept->second == incarnation)
                this->settling.erase(kept);
        }
        this->recordCrash(incarnation, IncarnationEnd::Reborn);
        this->forgetIncarnation(incarnation);
    }
}

} // namespace guavavalve::workflows
