#pragma once

#include "workflows/model/policy.h"
#include "workflows/shares/accountloads.h"
#include "workflows/shares/accountstanding.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace guavavalve::workflows {

class AccountUse;

/// What each client account is due while there is too little for all: weighted max-min fairness
/// over dominant shares, for each service and priority. Pure.
///
/// The load that it answers is one account that sends several times its usual: its work beyond its
/// share comes after that of the others. A priority competes for what less urgent work leaves: an
/// account's use counts if it is of that priority or a more urgent one. Resources of targets are
/// contended if the waiting tasks do not fit into the free room, and query time, for which all
/// services compete, if no instance had time for a step. While nothing is contended, or one account
/// alone has work, nobody is beyond a share.
class AccountShares
{
public:
    /// \a free: room on open targets by service. \a use: what the accounts have used recently.
    AccountShares(const Policy &policy, AccountLoads accountLoads, const AccountUse &use,
                  const std::map<std::string, Resources> &free);

    /// Takes \a need and \a queryMs of query time for a step; call in the order of the steps, the
    /// most urgent first. True if its account already had or had taken what it is due: a step that
    /// begins below the share may exceed it, so that a gang is not held back by its size.
    bool take(AccountLoads::Row row, const Resources &need, double queryMs);

    /// Records query time that is reserved for a step of the row.
    void addQueryTime(AccountLoads::Row row, double ms) { this->loads[row].queryMs += ms; }

    const AccountLoads &accountLoads() const { return this->loads; }

    /// Of all accounts and queues with any load.
    std::vector<AccountStanding> standings() const;
    /// Of the \a limit accounts and queues that are most beyond their share, the first the most.
    std::vector<AccountStanding> mostBeyondShare(std::size_t limit) const;

private:
    /// One account's amounts of one service and priority, and of more urgent ones.
    struct Claim
    {
        SharedAmounts placed{};
        SharedAmounts used{}; ///< the larger of what it has placed and what it used recently
        SharedAmounts recent{};
        SharedAmounts waiting{};
        SharedAmounts wanted{}; ///< what it has used and what it waits for, up to its limit
        double due = 0.0;
        bool isSatisfied = true; ///< it may have all that it wants
    };
    /// All queues of one service and priority.
    struct Level
    {
        std::string service;
        std::size_t serviceNumber = 0;
        std::uint32_t priority = 0;
        /// True if work of the queue competes for the same: that of the service and of this
        /// priority or a more urgent one.
        bool counts(const QueuePolicy &queue) const
        {
            return queue.service == this->service && this->countsQueries(queue);
        }
        /// True if queries of the queue, which instances send for all services, come no later.
        bool countsQueries(const QueuePolicy &queue) const
        {
            return queue.priority <= this->priority;
        }
        bool isContended = false;
        SharedAmounts room{}; ///< used as the whole of each kind
        std::array<bool, sharedKindCount> isScarce{};
        std::vector<Claim> claims; ///< by account
    };

    void addLevels(const Policy &policy);
    void addClaims(const Policy &policy, const AccountUse &use);
    static void sumUp(Claim &claim, const Resources &limit);
    static void findScarce(Level &level, const Resources &free, bool areQueriesExhausted);
    static bool hasSeveralAccounts(const Level &level);
    void allot(Level &level, const Policy &policy) const;
    /// The largest part of a kind that \a amounts take. While nothing is contended, all kinds
    /// count.
    static double dominantShare(const Level &level, const SharedAmounts &amounts);

    AccountLoads loads;
    std::vector<Level> levels;
    std::vector<std::size_t> levelOfQueue; ///< by number of the queue in the loads
    /// Taken by the steps so far, by account and service; of query time only by account.
    std::vector<SharedAmounts> taken;
    std::vector<double> takenQueryTime;
    std::size_t services = 0;
};

} // namespace guavavalve::workflows
