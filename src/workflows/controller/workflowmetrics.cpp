#include "workflows/controller/workflowmetrics.h"

#include "runtime/metrics.h"
#include "workflows/health/targetspeeds.h"

#include <algorithm>
#include <string>

namespace guavavalve::workflows {

namespace {

constexpr double millisecond = 1e-3;

double secondsSince(std::int64_t beganMs, std::int64_t nowMs)
{
    return millisecond * static_cast<double>(std::max<std::int64_t>(0, nowMs - beganMs));
}

double seconds(Milliseconds took)
{
    return millisecond * static_cast<double>(took.count());
}

} // namespace

void WorkflowMetrics::started(const WorkflowSpec &spec, std::uint32_t occurrence,
                              std::int64_t nowMs) const
{
    if (this->metrics == nullptr)
        return;
    this->metrics->observe(Metric::WaitingSeconds, secondsSince(spec.dueAtMs(occurrence), nowMs),
                           {spec.account, this->labelOf(spec.queue)});
}

void WorkflowMetrics::over(const Workflow &workflow, std::int64_t nowMs) const
{
    if (this->metrics == nullptr)
        return;
    const WorkflowSpec &spec = workflow.spec;
    this->metrics->count(Metric::WorkflowsTotal,
                         {std::string(enumName(workflowStateNames, workflow.state()))});
    if (workflow.state() == WorkflowState::Completed) {
        this->metrics->observe(Metric::WorkflowSeconds,
                               secondsSince(spec.dueAtMs(spec.occurrences() - 1), nowMs),
                               {spec.account, this->labelOf(spec.queue)});
    }
}

void WorkflowMetrics::runsOver(const std::vector<RunEnd> &ends) const
{
    if (this->metrics == nullptr)
        return;
    for (const RunEnd &end : ends)
        this->metrics->count(Metric::RunsTotal,
                             {std::string(enumName(runOutcomeNames, end.outcome))});
}

void WorkflowMetrics::refused(const WorkflowSpec &spec, IntakeCause cause) const
{
    if (this->metrics != nullptr) {
        this->metrics->count(Metric::IntakeRefusedTotal,
                             {spec.account, this->labelOf(spec.queue),
                              std::string(enumName(intakeCauseNames, cause))});
    }
}

void WorkflowMetrics::expectedWait(const std::string &queue, Milliseconds wait) const
{
    if (this->metrics != nullptr)
        this->metrics->set(Metric::ExpectedWaitSeconds, seconds(wait), {this->labelOf(queue)});
}

void WorkflowMetrics::targetCrashed() const
{
    if (this->metrics != nullptr)
        this->metrics->count(Metric::TargetCrashesTotal);
}

void WorkflowMetrics::claimRefused() const
{
    if (this->metrics != nullptr)
        this->metrics->count(Metric::TargetClaimsRefusedTotal);
}

void WorkflowMetrics::targetGone(DepartureEnd how, Milliseconds took) const
{
    if (this->metrics != nullptr) {
        this->metrics->observe(Metric::TargetDepartureSeconds, seconds(took),
                               {std::string(enumName(departureEndNames, how))});
    }
}

void WorkflowMetrics::speeds(const TargetSpeeds &speeds) const
{
    if (this->metrics == nullptr)
        return;
    const auto counts = speeds.countByGrade();
    for (const auto &[grade, name] : speedGradeNames) {
        const auto count = counts.find(grade);
        this->metrics->set(Metric::TargetsBySpeed,
                           count == counts.end() ? 0.0 : static_cast<double>(count->second),
                           {std::string(name)});
    }
}

void WorkflowMetrics::runMoved() const
{
    if (this->metrics != nullptr)
        this->metrics->count(Metric::RunsMovedTotal);
}

void WorkflowMetrics::stored(Milliseconds took) const
{
    if (this->metrics != nullptr)
        this->metrics->observe(Metric::CommitSeconds, seconds(took));
}

void WorkflowMetrics::admissionAnswered(Milliseconds took, bool isAnswered) const
{
    if (this->metrics != nullptr)
        this->metrics->observe(Metric::AdmissionSeconds, seconds(took),
                               {isAnswered ? "answered" : "failed"});
}

} // namespace guavavalve::workflows
