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
    double unsatisfiedWeight = 0.0;
    for (const std::size_t i : order)
        unsatisfiedWeight += weightOf(i);
    double left = std::max(capacity, 0.0);
    std::vector<double> allotted(demands.size(), 0.0);
    for (const std::size_t i : order) {
        const double due = left * weightOf(i) / unsatisfiedWeight;
        allotted[i] = std::min(wantedOf(i), due);
        left -= allotted[i];
        unsatisfiedWeight -= weightOf(i);
    }
    return allotted;
}

} // namespace guavavalve
