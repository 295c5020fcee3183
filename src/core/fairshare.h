#pragma once

#include <vector>

namespace guavavalve {

/// What one of several parties wants of a divisible resource.
struct FairDemand
{
    double wanted = 0.0; ///< in the unit of the resource; not negative
    double weight = 1.0; ///< zero and negative weights count as the smallest positive one
};

/// Weighted max-min fairness (progressive filling): the part of \a capacity that each demand is
/// allotted, in the order of \a demands. Nobody gets more than wanted, and nobody gets less than
/// wanted while another gets more by weight. Everything wanted is allotted if it fits. Cost: that
/// of sorting the demands.
std::vector<double> fairAllotments(const std::vector<FairDemand> &demands, double capacity);

/// What one of several parties wants of several resources, always in the same mixture.
struct MixedDemand
{
    double wanted = 0.0; ///< dominant share of all resources (Ghodsi et al., 2011); not negative
    double weight = 1.0; ///< zero and negative weights count as the smallest positive one
    std::vector<double> mixture; ///< fraction of each resource per unit of the dominant share
};

/// Weighted max-min fairness over dominant shares (progressive filling): the dominant share that
/// each demand is allotted, in the order of \a demands. The shares of all grow in proportion to
/// their weights until they are satisfied or the first resource is exhausted.
/// \a room: fraction of each resource that may be allotted. Cost: that of sorting the demands.
std::vector<double> fairMixedAllotments(const std::vector<MixedDemand> &demands,
                                        const std::vector<double> &room);

} // namespace guavavalve
