#include "core/fairshare.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace guavavalve {

namespace {

constexpr double minWeight = 1e-6;

} // namespace

std::vector<double> fairAllotments(const std::vector<FairDemand> &demands, double capacity)
{
    const auto weightOf = [&](std::size_t i) { return std::max(demands[i].weight, minWeight); };
    const auto wantedOf = [&](std::size_t i) { return std::max(demands[i].wanted, 0.0); };
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return wantedOf(a) * weightOf(b) < wantedOf(b) * weightOf(a);
    });
    // Sums from each demand to the end: subtracting a huge weight from a total would leave nothing
    // of the small ones.
    std::vector<double> weightFrom(order.size() + 1, 0.0);
    for (std::size_t k = order.size(); k > 0; --k)
        weightFrom[k - 1] = weightFrom[k] + weightOf(order[k - 1]);
    double left = std::max(capacity, 0.0);
    std::vector<double> allotted(demands.size(), 0.0);
    for (std::size_t k = 0; k < order.size(); ++k) {
        const std::size_t i = order[k];
        allotted[i] = std::min(wantedOf(i), left * weightOf(i) / weightFrom[k]);
        left -= allotted[i];
    }
    return allotted;
}

} // namespace guavavalve
