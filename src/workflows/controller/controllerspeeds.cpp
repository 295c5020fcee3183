#include "workflows/controller/controller.h"

#include "workflows/log/decisionlog.h"

#include <utility>

namespace guavavalve::workflows {

namespace {

constexpr Milliseconds speedRefreshInterval{1000};
/// Speeds stored at a time at most: 34,000 targets whose speeds all change at once are stored
/// within three minutes, with 20 KB a second.
constexpr std::size_t maxSpeedsPerRecord = 200;
/// How often and after which time the speeds of targets that are not registered any more are
/// forgotten. Longer than a restart of a target takes.
constexpr Milliseconds speedForgetInterval{60000};
constexpr Milliseconds speedRetention{1800000};
/// Used instead of the learned speed while speeds are not weighed.
constexpr double logOfGrade = 0.15;

} // namespace

double Controller::logSlownessOf(IncarnationId incarnation) const
{
    if (this->options.mechanisms.has(Mechanism::Speeds))
        return this->speeds.logSlowness(incarnation);
    const SpeedGrade grade = this->speeds.grade(incarnation);
    if (grade == SpeedGrade::Usual)
        return 0.0;
    return grade == SpeedGrade::Fast ? -logOfGrade : logOfGrade;
}

void Controller::addToSpeeds(IncarnationId incarnation, const TargetIdentity &identity)
{
    std::optional<TargetSpeed> stored;
    if (this->options.mechanisms.has(Mechanism::Speeds)) {
        this->machine.read([&](const WorkflowStore &store) {
            const auto found = store.speeds().find(identity.name);
            if (found != store.speeds().end())
                stored = found->second;
        });
    }
    this->speeds.add(incarnation, identity, stored ? &*stored : nullptr);
}

/// Members of a gang say nothing about their targets: they all end together. Nor do tasks that are
/// slow for another reason: far from their data, or on a target that is still cold.
void Controller::learnSpeed(IncarnationId incarnation, const RunEnd &end,
                            const WorkflowStore &store)
{
    const Workflow *workflow = store.find(end.task.step.workflow);
    if (workflow == nullptr || workflow->isOver() || end.outcome != RunOutcome::Succeeded)
        return;
    const StepSpec &step = workflow->spec.steps[end.task.step.step];
    const auto session = this->incarnations.find(incarnation);
    if (step.gang || session == this->incarnations.end() || session->second.session->isCold())
        return;
    const TargetIdentity &identity = session->second.session->identity();
    if (!step.dataRack.empty() && step.dataRack != identity.rack)
        return;
    this->speeds.observed({incarnation, end.task.step, workflow->spec.queue, end.took,
                           Milliseconds(step.estimatedMs)});
}

/// Draws the conclusions from the observed run times, and has the speeds stored that have changed.
void Controller::refreshSpeeds()
{
    const Instant now = this->options.clock();
    if (now < this->nextSpeedRefresh)
        return;
    this->nextSpeedRefresh = now + speedRefreshInterval;
    logSpeedGrades(this->speeds.refresh());
    this->metrics.speeds(this->speeds);
    if (!this->options.mechanisms.has(Mechanism::Speeds))
        return;
    const std::int64_t calendarMs = this->options.calendarMs();
    RecordSpeeds command{this->speeds.takeChanges(maxSpeedsPerRecord, calendarMs), 0};
    if (now >= this->nextSpeedForget) {
        this->nextSpeedForget = now + speedForgetInterval;
        command.forgetBeforeMs = calendarMs - speedRetention.count();
    }
    const bool hasStored =
        this->machine.read([](const WorkflowStore &store) { return !store.speeds().empty(); });
    if (!command.speeds.empty() || (command.forgetBeforeMs != 0 && hasStored))
        this->speedsToStore = std::move(command);
}

} // namespace guavavalve::workflows
