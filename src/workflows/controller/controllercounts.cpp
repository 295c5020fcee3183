#include "workflows/controller/controller.h"

#include "workflows/log/decisionlog.h"
#include "workflows/shares/accountshares.h"

#include <utility>

// Counts for metrics and for callers.

namespace guavavalve::workflows {

namespace {

/// Callers of each queue ask for its count at any rate, and the count walks all live workflows.
constexpr Milliseconds waitingCountInterval{500};

} // namespace

/// Counts the occurrence as started if the tasks of this command are the only ones placed in it so
/// far and this is their first run.
void Controller::countFirstStart(const PlaceRuns &command, const WorkflowStore &store) const
{
    const Workflow &workflow = *store.find(command.step.workflow);
    std::size_t startedTasks = 0;
    for (const StepProgress &step : workflow.occurrences[command.step.occurrence]) {
        for (const TaskProgress &task : step.tasks)
            startedTasks += task.run > 0 ? 1 : 0;
    }
    if (command.run == 1 && startedTasks == command.placements.size())
        this->metrics.started(workflow.spec, command.step.occurrence, this->options.calendarMs());
}

/// Counts the workflows that a command of \a atMs has finished.
///
/// Guards against counting a workflow twice: several commands of one millisecond may have touched
/// it. Commands of one batch all see the state after the batch; and once one member of a gang has
/// ended the workflow, the ends of the other members are stored with the next batch.
void Controller::countFinished(const std::vector<WorkflowId> &touched, std::int64_t atMs)
{
    if (std::exchange(this->countedAtMs, atMs) != atMs)
        this->countedWorkflows.clear();
    this->machine.read([&](const WorkflowStore &store) {
        for (const WorkflowId id : touched) {
            const Workflow *workflow = store.find(id);
            const bool isOver =
                workflow != nullptr && workflow->isOver() && workflow->endedAtMs == atMs;
            if (isOver && this->countedWorkflows.insert(id).second) {
                this->metrics.over(*workflow, atMs);
                logWorkflowEnded(*workflow, atMs);
            }
        }
    });
}

std::size_t Controller::waitingIn(const std::string &queue)
{
    const Instant now = this->options.clock();
    if (now >= this->nextWaitingCount) {
        this->nextWaitingCount = now + waitingCountInterval;
        this->countWaiting();
    }
    const auto counted = this->waitingCounts.find(queue);
    return counted == this->waitingCounts.end() ? 0 : counted->second;
}

void Controller::countWaiting()
{
    this->waitingCounts.clear();
    this->machine.read([this](const WorkflowStore &store) {
        for (const WorkflowId id : store.live()) {
            const Workflow *workflow = store.find(id);
            if (!workflow->isOver() && !this->hasBegun(*workflow))
                ++this->waitingCounts[workflow->spec.queue];
        }
    });
}

std::vector<AccountStanding> Controller::accountStandings() const
{
    return this->shares == nullptr ? std::vector<AccountStanding>() : this->shares->standings();
}

/// Guards against a count that is too low when targets have just become unreachable, and after a
/// change of controller: a stored start does not imply that the start has arrived. Stored ends and
/// checkpoints do, and so do the targets' answers and lists.
bool Controller::hasBegun(const Workflow &workflow) const
{
    const auto isBegun = [&](const TaskProgress &task, const TaskAddress &address) {
        if (task.phase == TaskPhase::Succeeded || task.failures > 0 || !task.checkpoint.empty())
            return true;
        const auto incarnation = this->incarnations.find(task.incarnation);
        return task.phase == TaskPhase::Placed && incarnation != this->incarnations.end()
            && incarnation->second.session->hasBegun(address);
    };
    for (std::uint32_t k = 0; k < workflow.occurrences.size(); ++k) {
        for (std::size_t i = 0; i < workflow.occurrences[k].size(); ++i) {
            const StepAddress address{workflow.spec.id, k, static_cast<std::uint16_t>(i)};
            const StepProgress &step = workflow.occurrences[k][i];
            for (std::size_t index = 0; index < step.tasks.size(); ++index) {
                if (isBegun(step.tasks[index], {address, static_cast<std::uint16_t>(index)}))
                    return true;
            }
            if (step.gangFailures > 0)
                return true;
        }
    }
    return false;
}

} // namespace guavavalve::workflows
