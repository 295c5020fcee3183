#pragma once

#include "core/clock.h"
#include "workflows/intake/intakedecision.h"
#include "workflows/model/departureend.h"
#include "workflows/model/runend.h"
#include "workflows/model/workflow.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve {
class Metrics;
}

namespace guavavalve::workflows {

class TargetSpeeds;

/// The metrics of a controller. Durations are differences of its calendar clock; a negative one,
/// after the clock was set back, counts as zero.
class WorkflowMetrics
{
public:
    /// Records nothing if \a metrics is null. \a labelOf: see Policy.
    WorkflowMetrics(Metrics *metrics, std::function<std::string(const std::string &queue)> labelOf)
        : metrics(metrics)
        , labelOf(std::move(labelOf))
    {}

    /// The first task of a workflow, or of an occurrence of it, has been placed.
    void started(const WorkflowSpec &spec, std::uint32_t occurrence, std::int64_t nowMs) const;
    void over(const Workflow &workflow, std::int64_t nowMs) const;
    void runsOver(const std::vector<RunEnd> &ends) const;
    void refused(const WorkflowSpec &spec, IntakeCause cause) const;
    /// How long the work that waits in \a queue waits until it starts.
    void expectedWait(const std::string &queue, Milliseconds wait) const;
    /// A target's process ended while it had work.
    void targetCrashed() const;
    /// A report claimed a later start of a target, and no process answered for it.
    void claimRefused() const;
    /// Nothing runs any more on a target that announced its end \a took ago.
    void targetGone(DepartureEnd how, Milliseconds took) const;
    /// Sets the number of targets by how fast they are.
    void speeds(const TargetSpeeds &speeds) const;
    /// A run was stopped in order to be restarted on another target.
    void runMoved() const;
    /// A batch of commands was committed; \a took: time from its proposal to its outcomes.
    void stored(Milliseconds took) const;
    /// A query to the admission service was answered or failed.
    void admissionAnswered(Milliseconds took, bool isAnswered) const;

private:
    Metrics *metrics;
    std::function<std::string(const std::string &queue)> labelOf;
};

} // namespace guavavalve::workflows
