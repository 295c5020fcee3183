#pragma once

#include "workflows/policy.h"
#include "workflows/workflowspec.h"

#include <cstdint>
#include <vector>

namespace guavavalve::workflows {

/// The longest chain of work that begins with each step, by the caller's estimates, in
/// milliseconds.
std::vector<std::int64_t> chainsFrom(const WorkflowSpec &spec);

/// How long the workflow may take by its queue's objective, in milliseconds, given its \a longest
/// chain of work.
std::int64_t objectiveOf(const QueuePolicy &queue, std::int64_t longest);

/// As above.
std::int64_t objectiveOf(const QueuePolicy &queue, const WorkflowSpec &spec);

} // namespace guavavalve::workflows
