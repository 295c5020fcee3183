#include "workflows/controller.h"

#include "workflows/decisionlog.h"

#include <map>
#include <vector>

// What the controller makes of targets that are gone with work on them.

namespace guavavalve::workflows {

/// Its process is gone. Said to the book after the ends of what was placed there.
void Controller::noteCrash(IncarnationId incarnation, IncarnationEnd how)
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
    this->add(
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
    this->settle(touched, atMs);
}

/// It answers: what was lost there was lost to a cut or to a lease that ran out.
void Controller::noteAlive(IncarnationId incarnation)
{
    const bool isInDoubt = this->machine.read(
        [&](const WorkflowStore &store) { return store.losses().hasOpen(incarnation); });
    if (!isInDoubt)
        return;
    this->add(MarkIncarnationAlive{incarnation},
              [incarnation](const Result<CommandOutcome> &outcome) {
                  if (outcome && outcome.value() == CommandOutcome::Applied)
                      logTargetAlive(incarnation);
              });
}

} // namespace guavavalve::workflows
