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

} // namespace guavavalve
