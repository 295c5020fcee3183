#pragma once

#include "core/clock.h"
#include "workflows/shares/accountload.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace guavavalve::workflows {

class AccountLoads;

/// How long past use of an account counts: several times the run time of urgent tasks, which are
/// too short for what is placed at one instant to say how much an account uses.
inline constexpr Milliseconds useMemory{3000};

/// What client accounts have used recently, by queue: a mean over useMemory in which earlier use
/// has an exponentially smaller part.
///
/// Soft state of one controller. What is placed at the first observation counts as the use so far,
/// so a new controller begins with what the store says. Bounded by the accounts that have work or
/// had some recently.
class AccountUse
{
public:
    /// Records what is placed at \a now, and the query time reserved since the last observation.
    /// \a queriesExhaustedFrom: the most urgent priority of which a step could not be queried.
    void observe(const AccountLoads &loads, std::optional<std::uint32_t> queriesExhaustedFrom,
                 Instant now);

    /// Records the query time that a plan of some of the steps has reserved.
    void addQueries(const AccountLoads &loads);

    /// Takes a run that did not end by itself out of the account's recent use. Otherwise an account
    /// that has lost its runs with their targets would come last with their restarts.
    void forgetRun(const std::string &account, const std::string &queue, const Resources &amount);

    using ByQueue = std::map<std::string, SharedAmounts>;

    /// What the account has used recently, by queue; empty for accounts without recent use.
    const ByQueue &recent(const std::string &account) const;
    /// True if, in the latest observation, a step of \a priority or of a more urgent one could not
    /// be queried because no instance had time.
    bool areQueriesExhausted(std::uint32_t priority) const
    {
        return this->exhaustedFrom && *this->exhaustedFrom <= priority;
    }

    /// Factor from the query time in recent() to that per second of the observed time, while this
    /// is shorter than useMemory: of query time before it, nothing is known.
    double queryTimeFactor() const;

    /// Number of accounts with recent use.
    std::size_t size() const { return this->accounts.size(); }
    void clear();

private:
    void decay(double kept);
    void dropNegligible();

    std::map<std::string, ByQueue> accounts;
    std::optional<Instant> observedFrom;
    std::optional<Instant> observedAt;
    std::optional<std::uint32_t> exhaustedFrom;
};

} // namespace guavavalve::workflows
