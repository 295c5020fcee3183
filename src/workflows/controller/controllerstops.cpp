#include "workflows/controller/controller.h"

#include "workflows/log/decisionlog.h"

#include <map>
#include <utility>

namespace guavavalve::workflows {

namespace {

/// Targets stop the remaining members of a gang that has lost some. Members that still run after
/// this time are stopped by the controller.
constexpr Milliseconds incompleteGangTimeout{1000};
/// How often a task is moved off stalled targets at most: the task itself may be the cause.
constexpr unsigned maxMovesPerTask = 2;

} // namespace

void Controller::addPlaced(const StepAddress &address, const StepProgress &step, PlacedTasks &to)
{
    for (std::size_t t = 0; t < step.tasks.size(); ++t) {
        if (step.tasks[t].phase == TaskPhase::Placed)
            to.emplace_back(step.tasks[t].incarnation,
                            TaskAddress{address, static_cast<std::uint16_t>(t)});
    }
}

void Controller::stopAll(WorkflowId id, std::string_view why, const PlacedTasks &placed)
{
    std::size_t stopped = 0;
    for (const auto &[incarnation, task] : placed) {
        const auto found = this->incarnations.find(incarnation);
        if (found != this->incarnations.end() && found->second.session->stop(task))
            ++stopped;
    }
    if (stopped > 0)
        logStoppingRuns(id, why, stopped);
}

void Controller::stopPlaced(WorkflowId id)
{
    PlacedTasks placed;
    this->machine.read([&](const WorkflowStore &store) {
        const Workflow *workflow = store.find(id);
        if (workflow == nullptr)
            return;
        for (std::uint32_t k = 0; k < workflow->occurrences.size(); ++k) {
            for (std::size_t i = 0; i < workflow->occurrences[k].size(); ++i) {
                addPlaced({id, k, static_cast<std::uint16_t>(i)}, workflow->occurrences[k][i],
                          placed);
            }
        }
    });
    this->stopAll(id, "cancelled or failed", placed);
}

/// Stops the remaining members of incomplete gangs that their targets have not stopped by
/// themselves.
void Controller::stopIncompleteGangs()
{
    const Instant now = this->options.clock();
    std::map<StepAddress, Instant> since;
    std::map<WorkflowId, PlacedTasks> remaining;
    this->machine.read([&](const WorkflowStore &store) {
        for (const WorkflowId id : store.live()) {
            const Workflow &workflow = *store.find(id);
            for (std::uint32_t k = 0; k < workflow.occurrences.size(); ++k) {
                for (std::size_t i = 0; i < workflow.occurrences[k].size(); ++i) {
                    const StepProgress &step = workflow.occurrences[k][i];
                    const bool isBroken = workflow.spec.steps[i].gang && step.placed > 0
                        && step.placed < step.tasks.size();
                    if (!isBroken)
                        continue;
                    const StepAddress address{id, k, static_cast<std::uint16_t>(i)};
                    const auto before = this->incompleteGangsSince.find(address);
                    const Instant firstSeen =
                        before == this->incompleteGangsSince.end() ? now : before->second;
                    since[address] = firstSeen;
                    if (now > firstSeen + incompleteGangTimeout)
                        addPlaced(address, step, remaining[id]);
                }
            }
        }
    });
    this->incompleteGangsSince = std::move(since);
    for (const auto &[id, placed] : remaining)
        this->stopAll(id, "members of its gang were lost", placed);
}

std::vector<ExpectedRun> Controller::expectedRuns(const std::vector<RunningTask> &running) const
{
    std::vector<ExpectedRun> expected;
    this->machine.read([&](const WorkflowStore &store) {
        for (const RunningTask &one : running) {
            const Workflow *workflow = store.find(one.task.step.workflow);
            if (workflow == nullptr || workflow->isOver() || workflow->task(one.task) == nullptr)
                continue;
            const StepSpec &spec = workflow->spec.steps[one.task.step.step];
            expected.push_back(
                {one.task, one.run, spec.estimatedMs, !spec.gang && !spec.longRunning});
        }
    });
    return expected;
}

void Controller::runsListed(IncarnationId incarnation, const std::vector<RunningTask> &running)
{
    const auto found = this->incarnations.find(incarnation);
    if (found == this->incarnations.end())
        return;
    this->recordAlive(incarnation);
    ProgressMonitor &progress = found->second.progress;
    progress.listed(running, this->expectedRuns(running), this->options.clock());
    if (progress.isStalled())
        this->moveStalled(incarnation, progress);
}

/// Guards against work that waits for a target that answers but makes no progress: runs stood still
/// for 3 to 7 s, as did work assigned in the meantime; three quarters of the short workflows that
/// finished too late to be of use had a run on such a target.
void Controller::moveStalled(IncarnationId incarnation, const ProgressMonitor &progress)
{
    const Instant now = this->options.clock();
    const TargetTrust before = this->health.trust(incarnation, now);
    this->health.stalled(incarnation, now);
    logTargetTrust(incarnation, before, this->health.trust(incarnation, now));
    const std::shared_ptr<TargetSession> session = this->incarnations.at(incarnation).session;
    for (const TaskAddress &task : progress.runsWorthMoving(this->options.session.stopLimit)) {
        if (this->moveCounts[task] >= maxMovesPerTask || !session->stop(task))
            continue;
        ++this->moveCounts[task];
        logRunMoved(incarnation, task);
        this->metrics.runMoved();
    }
}

} // namespace guavavalve::workflows
