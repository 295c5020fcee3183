#include "workflows/controller/controller.h"

#include "workflows/log/decisionlog.h"

#include <utility>

// Runs whose start orders may have reached a later incarnation of their target.

namespace guavavalve::workflows {

/// Ends the session of an incarnation after which another one has begun under the same name, and
/// keeps the runs that the later one may have started until it has registered.
void Controller::keepUnsettled(TargetSession &session)
{
    const std::vector<UnsettledRun> runs = session.supersede();
    if (runs.empty())
        return;
    logRunsUnsettled(session.identity(), runs.size());
    UnsettledRuns &kept = this->unsettledRuns[session.identity().name];
    kept.giveUpAt = this->options.clock() + TargetSession::settlingTime(this->options.session);
    for (const UnsettledRun &run : runs) {
        if (run.placedOn == session.incarnation())
            ++this->unsettledCounts[run.placedOn];
        kept.runs.push_back(run);
    }
}

/// Hands the unsettled runs of earlier incarnations to the session of the newest one.
void Controller::inheritUnsettled(TargetSession &session)
{
    const auto found = this->unsettledRuns.find(session.identity().name);
    if (found == this->unsettledRuns.end())
        return;
    const UnsettledRuns kept = std::move(found->second);
    this->unsettledRuns.erase(found);
    session.inherit(kept.runs);
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
                found[newest].push_back(run);
                ++this->unsettledCounts[incarnation];
            }
        }
    });
    return found;
}

/// The end of a run that was unsettled has been queued. The incarnation that it was placed on is
/// forgotten with the last one.
void Controller::runSettled(IncarnationId placedOn)
{
    const auto found = this->unsettledCounts.find(placedOn);
    if (found == this->unsettledCounts.end() || --found->second > 0)
        return;
    this->unsettledCounts.erase(found);
    this->recordCrash(placedOn, IncarnationEnd::Reborn);
    this->forgetIncarnation(placedOn);
}

/// Reports unsettled runs as over if no later incarnation has registered in time.
void Controller::giveUpUnsettled()
{
    for (auto target = this->unsettledRuns.begin(); target != this->unsettledRuns.end();) {
        if (this->options.clock() <= target->second.giveUpAt) {
            ++target;
            continue;
        }
        const std::vector<UnsettledRun> runs = std::move(target->second.runs);
        target = this->unsettledRuns.erase(target);
        for (const UnsettledRun &run : runs) {
            this->runsOver(run.placedOn, {run.ifAbsent});
            this->runSettled(run.placedOn);
        }
    }
}

} // namespace guavavalve::workflows
