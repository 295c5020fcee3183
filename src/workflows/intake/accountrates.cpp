#include "workflows/intake/accountrates.h"

#include "core/fairshare.h"

#include <iterator>
#include <vector>

namespace guavavalve::workflows {

namespace {

constexpr Milliseconds dropInterval{10000};
constexpr double roundingFactor = 1.0 + 1e-9; ///< for the sums of allotments

} // namespace

void AccountRates::accepted(const std::string &account, double amount, Instant now)
{
    this->dropIdle(now);
    this->byAccount.try_emplace(account, timeConstantSeconds).first->second.add(now, amount);
}

bool AccountRates::isBeyondShare(const std::string &account, double capacityFactor, double part,
                                 const WeightOf &weightOf, Instant now) const
{
    const auto own = this->byAccount.find(account);
    if (own == this->byAccount.end())
        return false; // nothing of it was accepted recently
    const double capacity = capacityFactor * this->servedRate.at(now);
    // The allotment that it would get if it wanted everything: the first demand.
    std::vector<FairDemand> demands{{capacity, weightOf(account)}};
    demands.reserve(this->byAccount.size());
    for (const auto &[name, rate] : this->byAccount) {
        if (name != account)
            demands.push_back({rate.at(now), weightOf(name)});
    }
    return own->second.at(now) > part * fairAllotments(demands, capacity).front() * roundingFactor;
}

/// Bounds the table when accounts come and go.
void AccountRates::dropIdle(Instant now)
{
    if (now < this->nextDrop)
        return;
    this->nextDrop = now + dropInterval;
    for (auto one = this->byAccount.begin(); one != this->byAccount.end();) {
        const bool isIdle = one->second.isIdleSince(now - dropInterval);
        one = isIdle ? this->byAccount.erase(one) : std::next(one);
    }
}

} // namespace guavavalve::workflows
