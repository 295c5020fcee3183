#include "core/fairshare.h"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <limits>
#include <numeric>

namespace guavavalve {

namespace {

constexpr double minWeight = 1e-6;
constexpr double maxWeight = 1e12;
/// Relative tolerance within which a resource counts as not exhausted.
constexpr double roundingTolerance = 1e-9;

double clampedWeight(double weight)
{
    return weight > minWeight ? std::min(weight, maxWeight) : minWeight; // also for NaN
}

/// The share per unit of weight at which the demand has all that it wants.
double satisfiedAt(const MixedDemand &demand)
{
    return std::max(demand.wanted, 0.0) / clampedWeight(demand.weight);
}

/// The share per unit of weight to which all demands can grow, unless they are satisfied earlier,
/// before a resource is exhausted.
double fillingLevel(const std::vector<MixedDemand> &demands, const std::vector<double> &room)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return satisfiedAt(demands[a]) < satisfiedAt(demands[b]);
    });
    // How fast the demands from each position to the end use each resource. Subtracting a huge
    // weight from a total would leave nothing of the small ones.
    std::vector<double> rates((order.size() + 1) * room.size(), 0.0);
    const auto rateFrom = [&](std::size_t k, std::size_t r) -> double & {
        return rates[k * room.size() + r];
    };
    for (std::size_t k = order.size(); k > 0; --k) {
        const MixedDemand &demand = demands[order[k - 1]];
        assert(demand.mixture.size() == room.size()
               && "give each demand the fraction of each resource in the room");
        for (std::size_t r = 0; r < room.size(); ++r)
            rateFrom(k - 1, r) = rateFrom(k, r) + clampedWeight(demand.weight) * demand.mixture[r];
    }
    std::vector<double> used(room.size(), 0.0);
    double level = 0.0;
    for (std::size_t k = 0; k < order.size(); ++k) {
        const double next = satisfiedAt(demands[order[k]]);
        double exhaustedAt = std::numeric_limits<double>::infinity();
        for (std::size_t r = 0; r < room.size(); ++r) {
            const double left = std::max(0.0, room[r] * (1.0 + roundingTolerance) - used[r]);
            if (rateFrom(k, r) > 0.0)
                exhaustedAt = std::min(exhaustedAt, level + left / rateFrom(k, r));
        }
        if (exhaustedAt < next)
            return exhaustedAt;
        for (std::size_t r = 0; r < room.size(); ++r)
            used[r] += rateFrom(k, r) * (next - level);
        level = next;
    }
    return level;
}

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

std::vector<double> fairMixedAllotments(const std::vector<MixedDemand> &demands,
                                        const std::vector<double> &room)
{
    const double level = fillingLevel(demands, room);
    std::vector<double> allotted;
    allotted.reserve(demands.size());
    for (const MixedDemand &demand : demands)
        allotted.push_back(
            std::min(std::max(demand.wanted, 0.0), clampedWeight(demand.weight) * level));
    return allotted;
}

} // namespace guavavalve
