#pragma once

#include "core/clock.h"

#include <functional>
#include <map>
#include <string>

namespace guavavalve::workflows {

/// The accepted work of each client account that waits, of one kind and in one unit.
class AccountBacklog
{
public:
    using WeightOf = std::function<double(const std::string &account)>;

    void add(const std::string &account, double amount);
    /// The amount may have been cleared meanwhile.
    void remove(const std::string &account, double amount);
    /// Removes all work.
    void clear(Instant now);
    double total() const { return this->sum; }

    /// \a account wanted more, which was refused.
    void refused(const std::string &account, Instant now);

    /// True if more of \a account waits than its max-min fair allotment of \a allowed, the work
    /// that may wait in all. An account of which nothing waits is never beyond its share.
    ///
    /// \a part: part of its allotment that the account may use. Cost: sorting the accounts.
    bool isBeyondShare(const std::string &account, double allowed, double part,
                       const WeightOf &weightOf, Instant now) const;

    /// Time until what waits of \a account has been started, if it gets its weighted part of
    /// \a ratePerSecond, of all accounts that have or want something.
    Milliseconds ownWait(const std::string &account, double ratePerSecond, const WeightOf &weightOf,
                         Instant now) const;

private:
    struct Account
    {
        double waiting = 0.0;
        Instant wantsMoreUntil{}; ///< after a refusal
    };

    std::map<std::string, Account> accounts;
    double sum = 0.0;
};

} // namespace guavavalve::workflows
