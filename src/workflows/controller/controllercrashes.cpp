#include "workflows/controller/controller.h"

#include "workflows/log/decisionlog.h"

#include <map>
#include <vector>

// Handling of targets that crashed or disconnected while they had work.

namespace guavavalve::workflows {

/// Records that the process of \a incarnation has ended. Must be called after the ends of the runs
/// placed there have been queued.
void Controller::recordCrash(IncarnationId incarnation, IncarnationEnd how)
{
    if (how == IncarnationEnd::Left)
        return;
    std::vector<TaskAddress> tasks;
    this->machine.read([&](const WorkflowStore &store) {
        tasks = store.losses().lostWith(incarnation);
        if (const IncarnationRecord *record = store.find(incarnation))
            tasks.insert(tasks.end(), record->placed.begin(), record->placed.end());
    });
    if (tasks.empty())
        return;
    this->metrics.targetCrashed();
    const std::int64_t atMs = this->options.calendarMs();
    this->enqueue(
        MarkIncarnationCrashed{incarnation, atMs},
        [this, incarnation, atMs, tasks = std::move(tasks)](const Result<CommandOutcome> &outcome) {
            if (outcome && outcome.value() == CommandOutcome::Applied)
                this->crashStored(incarnation, tasks, atMs);
        });
}

void Controller::crashStored(IncarnationId incarnation, const std::vector<TaskAddress> &tasks,
                             std::int64_t atMs)
{
    std::map<TaskAddress, LossCount> counts;
    std::vector<TaskAddress> givenUp;
    std::vector<WorkflowId> touched;
    this->machine.read([&](const WorkflowStore &store) {
        for (const TaskAddress &task : tasks) {
            const Workflow *workflow = store.find(task.step.workflow);
            touched.push_back(task.step.workflow);
            if (workflow != nullptr && workflow->hasFailed)
                givenUp.push_back(task);
            else
                counts[task] = store.losses().count(task);
        }
    });
    logCrash(incarnation, counts, givenUp);
    this->finishWorkflows(touched, atMs);
}

/// The target answers: runs counted as lost there were lost to a broken connection or an expired
/// lease.
void Controller::recordAlive(IncarnationId incarnation)
{
    const bool isInDoubt = this->machine.read(
        [&](const WorkflowStore &store) { return store.losses().hasOpenLosses(incarnation); });
    if (!isInDoubt)
        return;
    this->enqueue(MarkIncarnationAlive{incarnation},
                  [incarnation](const Result<CommandOutcome> &outcome) {
                      if (outcome && outcome.value() == CommandOutcome::Applied)
                          logTargetAlive(incarnation);
                  });
}

} // namespace guavavalve::workflows
