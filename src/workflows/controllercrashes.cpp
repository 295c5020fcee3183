#include "workflows/controller.h"

#include "workflows/decisionlog.h"

#include <map>
#include <vector>

// What the controller makes of targets that are gone with work on them.

namespace guavavalve::workflows {

/// Its process is gone. Said to the book after the ends of what was placed there.
void Controller::noteCrash(LifeNumber life, LifeEnd how)
{
    if (how == LifeEnd::Left)
        return;
    std::vector<TaskAddress> tasks;
    this->machine.read([&](const Book &book) {
        tasks = book.losses().lostWith(life);
        if (const LifeRecord *record = book.find(life))
            tasks.insert(tasks.end(), record->placed.begin(), record->placed.end());
    });
    if (tasks.empty())
        return;
    this->metrics.targetCrashed();
    const std::int64_t atMs = this->options.calendarMs();
    this->add(CrashLife{life, atMs},
              [this, life, atMs, tasks = std::move(tasks)](const Result<CommandOutcome> &outcome) {
                  if (outcome && outcome.value() == CommandOutcome::Applied)
                      this->crashStored(life, tasks, atMs);
              });
}

void Controller::crashStored(LifeNumber life, const std::vector<TaskAddress> &tasks,
                             std::int64_t atMs)
{
    std::map<TaskAddress, LossCount> counts;
    std::vector<TaskAddress> givenUp;
    std::vector<WorkflowId> touched;
    this->machine.read([&](const Book &book) {
        for (const TaskAddress &task : tasks) {
            const Workflow *workflow = book.find(task.step.workflow);
            touched.push_back(task.step.workflow);
            if (workflow != nullptr && workflow->hasFailed)
                givenUp.push_back(task);
            else
                counts[task] = book.losses().count(task);
        }
    });
    logCrash(life, counts, givenUp);
    this->settle(touched, atMs);
}

/// It answers: what was lost there was lost to a cut or to a lease that ran out.
void Controller::noteAlive(LifeNumber life)
{
    const bool isInDoubt =
        this->machine.read([&](const Book &book) { return book.losses().hasOpen(life); });
    if (!isInDoubt)
        return;
    this->add(ReviveLife{life}, [life](const Result<CommandOutcome> &outcome) {
        if (outcome && outcome.value() == CommandOutcome::Applied)
            logTargetAlive(life);
    });
}

} // namespace guavavalve::workflows
