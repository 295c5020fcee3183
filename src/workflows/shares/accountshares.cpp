#include "workflows/shares/accountshares.h"

#include "core/fairshare.h"
#include "workflows/shares/accountuse.h"

#include <algorithm>
#include <cassert>
#include <chrono>
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
    this->addClaims(policy, use);
    for (Level &level : this->levels) {
        for (std::size_t account = 0; account < level.claims.size(); ++account)
            sumUp(level.claims[account], policyOf(policy, this->loads.accounts()[account]).limit);
        const auto room = free.find(level.service);
        findScarce(level, room == free.end() ? Resources{} : room->second,
                   use.areQueriesExhausted(level.priority));
        if (level.isContended)
            this->allot(level, policy);
    }
    this->taken.resize(this->loads.accounts().size() * this->services);
    this->takenQueryTime.resize(this->loads.accounts().size());
}

/// Adds a level for each service and priority with work.
void AccountShares::addLevels(const Policy &policy)
{
    std::map<std::pair<std::string, std::uint32_t>, std::size_t> known;
    std::map<std::string, std::size_t> serviceNumbers;
    for (const std::string &name : this->loads.queues()) {
        const QueuePolicy *queue = policy.queue(name);
        assert(queue != nullptr && "add loads only for queues of the policy");
        const auto [found, isNew] =
            known.try_emplace({queue->service, queue->priority}, this->levels.size());
        this->levelOfQueue.push_back(found->second);
        if (!isNew)
            continue;
        Level level;
        level.service = queue->service;
        level.serviceNumber =
            serviceNumbers.try_emplace(queue->service, serviceNumbers.size()).first->second;
        level.priority = queue->priority;
        level.claims.resize(this->loads.accounts().size());
        this->levels.push_back(std::move(level));
    }
    this->services = serviceNumbers.size();
}

void AccountShares::addClaims(const Policy &policy, const AccountUse &use)
{
    for (AccountLoads::Row row = 0; row < this->loads.size(); ++row) {
        const AccountLoad &load = this->loads[row];
        const QueuePolicy &queue = *policy.queue(this->loads.queues()[this->loads.queueOf(row)]);
        for (Level &level : this->levels) {
            Claim &claim = level.claims[this->loads.accountOf(row)];
            if (level.countsQueries(queue))
                claim.waiting[queryTimeKind] += queryRate(load.waitingQueryMs);
            if (!level.counts(queue))
                continue;
            add(claim.placed, load.placed);
            add(claim.waiting, load.waiting);
        }
    }
    for (std::size_t account = 0; account < this->loads.accounts().size(); ++account) {
        for (const auto &[name, amounts] : use.recent(this->loads.accounts()[account])) {
            SharedAmounts recent = amounts;
            recent[queryTimeKind] *= use.queryTimeFactor();
            const QueuePolicy *queue = policy.queue(name);
            if (queue == nullptr)
                continue; // the queue was removed
            for (Level &level : this->levels) {
                SharedAmounts &sum = level.claims[account].recent;
                if (level.counts(*queue))
                    add(sum, recent);
                else if (level.countsQueries(*queue))
                    sum[queryTimeKind] += recent[queryTimeKind];
            }
        }
    }
}

void AccountShares::sumUp(Claim &claim, const Resources &limit)
{
    double startable = 1.0; // part of the waiting work for which the limit leaves room
    for (std::size_t kind = 0; kind < sharedKindCount; ++kind) {
        claim.used[kind] = std::max(claim.placed[kind], claim.recent[kind]);
        claim.wanted[kind] = claim.used[kind] + claim.waiting[kind];
        if (kind < resourceKindCount) {
            const auto most = static_cast<double>(limit.amounts[kind]);
            claim.wanted[kind] = std::min(claim.wanted[kind], std::max(claim.used[kind], most));
            const double left = std::max(0.0, most - claim.placed[kind]);
            if (claim.waiting[kind] > left)
                startable = std::min(startable, left / claim.waiting[kind]);
        }
    }
    claim.wanted[queryTimeKind] =
        claim.used[queryTimeKind] + startable * claim.waiting[queryTimeKind];
}

void AccountShares::findScarce(Level &level, const Resources &free, bool areQueriesExhausted)
{
    SharedAmounts placed{};
    SharedAmounts waiting{};
    SharedAmounts recent{};
    for (const Claim &claim : level.claims) {
        add(placed, claim.placed);
        add(waiting, claim.waiting);
        add(recent, claim.recent);
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
    if (!hasSeveralAccounts(level)) {
        level.isScarce.fill(false);
        level.isContended = false;
    }
}

bool AccountShares::hasSeveralAccounts(const Level &level)
{
    const auto wantsAny = [](const Claim &claim) {
        return std::any_of(claim.wanted.begin(), claim.wanted.end(),
                           [](double amount) { return amount > 0.0; });
    };
    return std::count_if(level.claims.begin(), level.claims.end(), wantsAny) > 1;
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
    const Level &level = this->levels[this->levelOfQueue[this->loads.queueOf(row)]];
    SharedAmounts &before = this->taken[account * this->services + level.serviceNumber];
    bool isBeyond = false;
    if (level.isContended && !level.claims[account].isSatisfied) {
        SharedAmounts had = level.claims[account].used;
        add(had, before);
        had[queryTimeKind] += this->takenQueryTime[account];
        isBeyond = dominantShare(level, had) >= level.claims[account].due * (1.0 - shareTolerance);
    }
    add(before, need);
    this->takenQueryTime[account] += queryRate(queryMs);
    return isBeyond;
}

std::vector<AccountStanding> AccountShares::standings() const
{
    std::vector<AccountStanding> all;
    all.reserve(this->loads.size());
    for (AccountLoads::Row row = 0; row < this->loads.size(); ++row) {
        const AccountLoad &load = this->loads[row];
        const Level &level = this->levels[this->levelOfQueue[this->loads.queueOf(row)]];
        const Claim &claim = level.claims[this->loads.accountOf(row)];
        AccountStanding standing;
        standing.account = this->loads.accounts()[this->loads.accountOf(row)];
        standing.queue = this->loads.queues()[this->loads.queueOf(row)];
        standing.isContended = level.isContended;
        standing.due = level.isContended && !claim.isSatisfied ? claim.due : 1.0;
        standing.placed = dominantShare(level, claim.placed);
        standing.recent = dominantShare(level, claim.recent);
        standing.placedTasks = load.placedTasks;
        standing.waitingTasks = load.waitingTasks;
        all.push_back(std::move(standing));
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
