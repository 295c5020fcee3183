#pragma once

#include "core/clock.h"
#include "core/decayingrate.h"

#include <functional>
#include <map>
#include <string>

namespace guavavalve::workflows {

/// What the client accounts have handed in of one kind of work, and how much of that kind is
/// served, both per second over the last seconds.
class AccountRates
{
public:
    using WeightOf = std::function<double(const std::string &account)>;

    /// \a account handed in \a amount of work, which was accepted.
    void accepted(const std::string &account, double amount, Instant now);
    void served(double amount, Instant now) { this->servedRate.add(now, amount); }
    double servedPerSecond(Instant now) const { return this->servedRate.at(now); }

    /// True if \a account has had more accepted than the max-min fair allotment of what can be
    /// served that it would get if it wanted everything. Cost: sorting the active accounts.
    ///
    /// \a capacityFactor: part of the served rate that is shared out; below 1 to reduce a backlog.
    /// \a part: part of its allotment that the account may use.
    bool isBeyondShare(const std::string &account, double capacityFactor, double part,
                       const WeightOf &weightOf, Instant now) const;

private:
    void dropIdle(Instant now);

    std::map<std::string, DecayingRate> byAccount;
    DecayingRate servedRate{timeConstantSeconds};
    Instant nextDrop{};

    /// Short enough for a flood to be noticed while most callers can still be served in time.
    static constexpr double timeConstantSeconds = 2.0;
};

} // namespace guavavalve::workflows
