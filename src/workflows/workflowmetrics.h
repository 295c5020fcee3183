#pragma once

#include "core/clock.h"
#include "workflows/runend.h"
#include "workflows/workflow.h"

#include <cstdint>
#include <vector>

namespace guavavalve {
class Metrics;
}

namespace guavavalve::workflows {

/// What a controller counts and measures. Times between two readings of the calendar are those of
/// one controller's clock; one that has been set back counts as none.
class WorkflowMetrics
{
public:
    /// \a metrics null: nothing is counted.
    explicit WorkflowMetrics(Metrics *metrics)
        : metrics(metrics)
    {}

    /// The first task of a workflow, or of an occurrence of it, has been placed.
    void started(const WorkflowSpec &spec, std::uint32_t occurrence, std::int64_t nowMs) const;
    void over(const Workflow &workflow, std::int64_t nowMs) const;
    void runsOver(const std::vector<RunEnd> &ends) const;
    /// A target's process is gone with work on it.
    void targetCrashed() const;
    /// A batch of commands, from its proposal to its outcomes.
    void stored(Milliseconds took) const;
    /// A question to the admission service.
    void admissionAnswered(Milliseconds took, bool isAnswered) const;

private:
    Metrics *metrics;
};

} // namespace guavavalve::workflows
