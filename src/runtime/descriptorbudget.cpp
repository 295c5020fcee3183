#include "runtime/descriptorbudget.h"

#include <string>

namespace guavavalve {

Result<DescriptorBudget> DescriptorBudget::divide(std::size_t limit,
                                                  const std::vector<DescriptorShare> &shares)
{
    std::size_t minimum = 0;
    std::size_t weights = 0;
    for (const DescriptorShare &share : shares) {
        minimum += share.minimum;
        weights += share.weight;
    }
    if (limit < minimum) {
        return failure(ErrorCode::InvalidArgument,
                       "this process needs at least " + std::to_string(minimum)
                           + " file descriptors but may open only " + std::to_string(limit)
                           + "; raise the limit of open files");
    }
    DescriptorBudget budget;
    for (const DescriptorShare &share : shares) {
        const std::size_t extra = weights == 0 ? 0 : (limit - minimum) * share.weight / weights;
        budget.parts[static_cast<std::size_t>(share.use)] += share.minimum + extra;
    }
    return budget;
}

} // namespace guavavalve
