#include "workflows/shares/accountshares.h"

#include "core/fairshare.h"
#include "workflows/shares/accountuse.h"

#include <algorithm>
#include <utility>

namespace guavavalve::workflows {

namespace {

/// Relative tolerance of rounding within which two shares are equal.
constexpr double shareTolerance = 1e-6;

void add(SharedAmounts &to, const Resources &amount)
{
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
        to[kind] += static_cast<double>(amount.amounts[kind]);
}

void add(SharedAmounts &to, const SharedAmounts &amount)
{
    for (std::size_t kind = 0; kind < sharedKindCount; ++kind)
        to[kind] += amount[kind];
}

/// Query time per second, if \a ms are used within the time that recent use spans.
double queryRate(double ms)
{
    return ms / std::chrono::duration<double>(useMemory).count();
}

const AccountPolicy &policyOf(const Policy &policy, const std::string &account)
{
    static const AccountPolicy unknown; // removed after its work had been accepted
    const auto found = policy.accounts.find(account);
    return found == policy.accounts.end() ? unknown : found->second;
}

} // namespace

AccountShares::AccountShares(const Policy &policy, AccountLoads accountLoads, const AccountUse &use,
                             const std::map<std::string, Resources> &free)
    : loads(std::move(accountLoads))
{
    this->addLevels(policy);
    std::vector<SharedAmounts> recent; // by row
    for (const std::string &account : this->loads.accounts()) {
        for (const std::string &queue : this->loads.queues())
            recent.push_back(use.recent(account, queue));
    }
    for (Level &level : this->levels) {
        this->addClaims(level, policy, recent);
        const auto room = free.find(level.service);
        this->findScarce(level, room == free.end() ? Resources{} : room->second,
                         use.areQueriesExhausted(level.priority));
        if (level.isContended)
            this->allot(level, policy);
    }
    this->taken.resize(this->loads.accounts().size() * this->services);
}

void AccountShares::addLevels(const Policy &policy)
{
    std::map<std::pair<std::string, std::uint32_t>, std::size_t> known;
    std::map<std::string, std::size_t> serviceIndex;
    for (const auto &[name, queue] : policy.queues) {
        const auto [found, isNew] =
            known.try_emplace({queue.service, queue.priority}, this->levels.size());
        this->levelOfQueue.push_back(found->second);
        if (!isNew)
            continue;
        Level level;
        level.service = queue.service;
        level.priority = queue.priority;
        this->levels.push_back(std::move(level));
        this->serviceOfLevel.push_back(
            serviceIndex.try_emplace(queue.service, serviceIndex.size()).first->second);
    }
    this->services = serviceIndex.size();
    for (Level &level : this->levels) {
        std::size_t index = 0;
        for (const auto &[name, queue] : policy.queues) {
            if (queue.service == level.service && queue.priority <= level.priority)
                level.queues.push_back(index);
            ++index;
        }
    }
}

void AccountShares::addClaims(Level &level, const Policy &policy,
                              const std::vector<SharedAmounts> &recent) const
{
    const std::vector<std::string> &accounts = this->loads.accounts();
    level.claims.resize(accounts.size());
    for (std::size_t account = 0; account < accounts.size(); ++account) {
        Claim &claim = level.claims[account];
        SharedAmounts waiting{};
        for (const std::size_t queue : level.queues) {
            const AccountLoads::Row row = this->loads.row(account, queue);
            const AccountLoad &load = this->loads[row];
            add(claim.placed, load.placed);
            add(claim.recent, recent[row]);
            add(waiting, load.waiting);
            waiting[queryTimeKind] += queryRate(load.waitingQueryMs);
        }
        const Resources &limit = policyOf(policy, accounts[account]).limit;
        for (std::size_t kind = 0; kind < sharedKindCount; ++kind) {
            claim.used[kind] = std::max(claim.placed[kind], claim.recent[kind]);
            claim.wanted[kind] = claim.used[kind] + waiting[kind];
            if (kind < resourceKindCount)
                claim.wanted[kind] =
                    std::min(claim.wanted[kind],
                             std::max(claim.used[kind], static_cast<double>(limit.amounts[kind])));
        }
    }
}

void AccountShares::findScarce(Level &level, const Resources &free, bool areQueriesExhausted) const
{
    SharedAmounts placed{};
    SharedAmounts waiting{};
    SharedAmounts recent{};
    for (std::size_t account = 0; account < level.claims.size(); ++account) {
        add(placed, level.claims[account].placed);
        add(recent, level.claims[account].recent);
        for (const std::size_t queue : level.queues)
            add(waiting, this->loads[this->loads.row(account, queue)].waiting);
    }
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
        const double left = std::max(0.0, static_cast<double>(free.amounts[kind]));
        level.room[kind] = placed[kind] + left;
        level.isScarce[kind] = waiting[kind] > left && level.room[kind] > 0.0;
        level.isContended |= level.isScarce[kind];
    }
    level.room[queryTimeKind] = recent[queryTimeKind];
    level.isScarce[queryTimeKind] = areQueriesExhausted && recent[queryTimeKind] > 0.0;
    level.isContended |= level.isScarce[queryTimeKind];
}

double AccountShares::dominantShare(const Level &level, const SharedAmounts &amounts)
{
    double share = 0.0;
    for (std::size_t kind = 0; kind < sharedKindCount; ++kind) {
        const bool counts = level.isScarce[kind] || !level.isContended;
        if (counts && level.room[kind] > 0.0)
            share = std::max(share, amounts[kind] / level.room[kind]);
    }
    return share;
}

void AccountShares::allot(Level &level, const Policy &policy) const
{
    std::vector<MixedDemand> demands;
    demands.reserve(level.claims.size());
    const auto scarce =
        static_cast<std::size_t>(std::count(level.isScarce.begin(), level.isScarce.end(), true));
    for (std::size_t account = 0; account < level.claims.size(); ++account) {
        const Claim &claim = level.claims[account];
        MixedDemand demand;
        demand.weight = policyOf(policy, this->loads.accounts()[account]).weight;
        demand.wanted = dominantShare(level, claim.wanted);
        demand.mixture.reserve(scarce);
        for (std::size_t kind = 0; kind < sharedKindCount; ++kind) {
            if (level.isScarce[kind])
                demand.mixture.push_back(demand.wanted > 0.0
                                             ? claim.wanted[kind] / level.room[kind] / demand.wanted
                                             : 0.0);
        }
        demands.push_back(std::move(demand));
    }
    const std::vector<double> due = fairMixedAllotments(demands, std::vector<double>(scarce, 1.0));
    for (std::size_t account = 0; account < level.claims.size(); ++account) {
        Claim &claim = level.claims[account];
        claim.due = due[account];
        claim.isSatisfied = due[account] >= demands[account].wanted * (1.0 - shareTolerance);
    }
}

bool AccountShares::take(AccountLoads::Row row, const Resources &need, double queryMs)
{
    const std::size_t account = this->loads.accountOf(row);
    const std::size_t levelIndex = this->levelOfQueue[this->loads.queueOf(row)];
    const Level &level = this->levels[levelIndex];
    SharedAmounts &before =
        this->taken[account * this->services + this->serviceOfLevel[levelIndex]];
    bool isBeyond = false;
    if (level.isContended && !level.claims[account].isSatisfied) {
        SharedAmounts had = level.claims[account].used;
        add(had, before);
        isBeyond = dominantShare(level, had) >= level.claims[account].due * (1.0 - shareTolerance);
    }
    add(before, need);
    before[queryTimeKind] += queryRate(queryMs);
    return isBeyond;
}

std::vector<AccountStanding> AccountShares::standings() const
{
    std::vector<AccountStanding> all;
    for (std::size_t account = 0; account < this->loads.accounts().size(); ++account) {
        for (std::size_t queue = 0; queue < this->loads.queues().size(); ++queue) {
            const AccountLoad &load = this->loads[this->loads.row(account, queue)];
            if (load.placedTasks == 0 && load.waitingTasks == 0)
                continue;
            const Level &level = this->levels[this->levelOfQueue[queue]];
            const Claim &claim = level.claims[account];
            AccountStanding standing;
            standing.account = this->loads.accounts()[account];
            standing.queue = this->loads.queues()[queue];
            standing.isContended = level.isContended;
            standing.due = level.isContended && !claim.isSatisfied ? claim.due : 1.0;
            standing.placed = dominantShare(level, claim.placed);
            standing.recent = dominantShare(level, claim.recent);
            standing.placedTasks = load.placedTasks;
            standing.waitingTasks = load.waitingTasks;
            all.push_back(std::move(standing));
        }
    }
    return all;
}

std::vector<AccountStanding> AccountShares::mostBeyondShare(std::size_t limit) const
{
    std::vector<AccountStanding> beyond = this->standings();
    beyond.erase(std::remove_if(beyond.begin(), beyond.end(),
                                [](const AccountStanding &one) {
                                    return !one.isContended || one.excess() < 0.0;
                                }),
                 beyond.end());
    std::sort(beyond.begin(), beyond.end(), [](const AccountStanding &a, const AccountStanding &b) {
        return a.excess() > b.excess();
    });
    if (beyond.size() > limit)
        beyond.resize(limit);
    return beyond;
}

} // namespace guavavalve::workflows
