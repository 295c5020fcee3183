#include "workflows/objective.h"

#include <algorithm>
#include <cstddef>

namespace guavavalve::workflows {

std::vector<std::int64_t> chainsFrom(const WorkflowSpec &spec)
{
    std::vector<std::int64_t> chains(spec.steps.size(), 0);
    for (std::size_t i = spec.steps.size(); i-- > 0;) {
        chains[i] += spec.steps[i].estimatedMs;
        for (const std::uint16_t earlier : spec.steps[i].dependencies)
            chains[earlier] = std::max(chains[earlier], chains[i]);
    }
    return chains;
}

std::int64_t objectiveOf(const QueuePolicy &queue, std::int64_t longest)
{
    return queue.slackMs + static_cast<std::int64_t>(queue.stretch * static_cast<double>(longest));
}

std::int64_t objectiveOf(const QueuePolicy &queue, const WorkflowSpec &spec)
{
    const std::vector<std::int64_t> chains = chainsFrom(spec);
    return objectiveOf(queue, chains.empty() ? 0 : *std::max_element(chains.begin(), chains.end()));
}

} // namespace guavavalve::workflows
