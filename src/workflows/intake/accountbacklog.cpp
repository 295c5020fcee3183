#include "workflows/intake/accountbacklog.h"

#include "core/fairshare.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace guavavalve::workflows {

namespace {

/// An account that was refused something counts as wanting all that it can get for this long.
constexpr Milliseconds refusalMemory{1000};
constexpr Milliseconds maxOwnWait{60000}; ///< of an account whose work does not start at all
constexpr double roundingFactor = 1.0 + 1e-9; ///< for sums of allotments

} // namespace

void AccountBacklog::add(const std::string &account, double amount)
{
    this->accounts[account].waiting += amount;
    this->sum += amount;
}

void AccountBacklog::remove(const std::string &account, double amount)
{
    const auto known = this->accounts.find(account);
    if (known == this->accounts.end())
        return;
    const double removed = std::min(amount, known->second.waiting);
    known->second.waiting -= removed;
    this->sum -= removed;
}

void AccountBacklog::clear(Instant now)
{
    this->sum = 0.0;
    for (auto one = this->accounts.begin(); one != this->accounts.end();) {
        one->second.waiting = 0.0;
        one = one->second.wantsMoreUntil <= now ? this->accounts.erase(one) : std::next(one);
    }
}

void AccountBacklog::refused(const std::string &account, Instant now)
{
    this->accounts[account].wantsMoreUntil = now + refusalMemory;
}

bool AccountBacklog::isBeyondShare(const std::string &account, double allowed, double part,
                                   const WeightOf &weightOf, Instant now) const
{
    const auto own = this->accounts.find(account);
    if (own == this->accounts.end() || own->second.waiting <= 0.0)
        return false;
    // The allotment that it would get if it wanted everything: the first demand.
    std::vector<FairDemand> demands{{allowed, weightOf(account)}};
    demands.reserve(this->accounts.size());
    for (const auto &[name, other] : this->accounts) {
        if (name != account)
            demands.push_back(
                {now < other.wantsMoreUntil ? allowed : other.waiting, weightOf(name)});
    }
    return own->second.waiting > part * fairAllotments(demands, allowed).front() * roundingFactor;
}

Milliseconds AccountBacklog::ownWait(const std::string &account, double ratePerSecond,
                                     const WeightOf &weightOf, Instant now) const
{
    const auto own = this->accounts.find(account);
    if (own == this->accounts.end() || own->second.waiting <= 0.0)
        return Milliseconds(0);
    double weights = 0.0;
    for (const auto &[name, other] : this->accounts) {
        if (other.waiting > 0.0 || now < other.wantsMoreUntil)
            weights += weightOf(name);
    }
    const double part = weights > 0.0 ? weightOf(account) / weights : 1.0;
    const double perMs = part * ratePerSecond / 1000.0;
    if (own->second.waiting >= perMs * static_cast<double>(maxOwnWait.count()))
        return maxOwnWait;
    return Milliseconds(static_cast<std::int64_t>(own->second.waiting / perMs));
}

} // namespace guavavalve::workflows
