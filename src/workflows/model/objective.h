#pragma once

#include "workflows/model/policy.h"
#include "workflows/model/workflowspec.h"

#include <cstdint>
#include <vector>

namespace guavavalve::workflows {

/// Length of the critical path that starts with each step, by the caller's estimates, in
/// milliseconds.
std::vector<std::int64_t> criticalPathsFrom(const WorkflowSpec &spec);

/// How long a workflow may take by its queue's objective, in milliseconds, given the length of its
/// critical path.
std::int64_t objectiveOf(const QueuePolicy &queue, std::int64_t criticalPathMs);

/// The same, for the critical path of \a spec.
std::int64_t objectiveOf(const QueuePolicy &queue, const WorkflowSpec &spec);

} // namespace guavavalve::workflows
