#include "runtime/descriptorbudget.h"

#include <string>

namespace guavavalve {

Result<DescriptorBudget> DescriptorBudget::divide(std::size_t limit,
                                                  const std::vector<DescriptorShare> &shares)
{
    std::size_t least = 0;
    std::size_t weights = 0;
    for (const DescriptorShare &share : shares) {
        least += share.least;
        weights += share.weight;
    }
    if (limit < least) {
        return failure(ErrorCode::InvalidArgument,
                       "this process needs at least " + std::to_string(least)
                           + " file descriptors and may open " + std::to_string(limit)
                           + "; raise its limit");
    }
    DescriptorBudget budget;
    for (const DescriptorShare &share : shares) {
        const std::size_t extra = weights == 0 ? 0 : (limit - least) * share.weight / weights;
        budget.parts[static_cast<std::size_t>(share.use)] += share.least + extra;
    }
    return budget;
}

} // namespace guavavalve
