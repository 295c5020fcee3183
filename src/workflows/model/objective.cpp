#include "workflows/model/objective.h"

#include <algorithm>
#include <cstddef>

namespace guavavalve::workflows {

std::vector<std::int64_t> criticalPathsFrom(const WorkflowSpec &spec)
{
    std::vector<std::int64_t> criticalPaths(spec.steps.size(), 0);
    for (std::size_t i = spec.steps.size(); i-- > 0;) {
        criticalPaths[i] += spec.steps[i].estimatedMs;
        for (const std::uint16_t earlier : spec.steps[i].dependencies)
            criticalPaths[earlier] = std::max(criticalPaths[earlier], criticalPaths[i]);
    }
    return criticalPaths;
}

std::int64_t objectiveOf(const QueuePolicy &queue, std::int64_t criticalPathMs)
{
    return queue.slackMs
        + static_cast<std::int64_t>(queue.stretch * static_cast<double>(criticalPathMs));
}

std::int64_t objectiveOf(const QueuePolicy &queue, const WorkflowSpec &spec)
{
    const std::vector<std::int64_t> criticalPaths = criticalPathsFrom(spec);
    return objectiveOf(
        queue,
        criticalPaths.empty() ? 0 : *std::max_element(criticalPaths.begin(), criticalPaths.end()));
}

} // namespace guavavalve::workflows
