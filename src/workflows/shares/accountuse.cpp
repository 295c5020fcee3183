#include "workflows/shares/accountuse.h"

#include "workflows/shares/accountloads.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace guavavalve::workflows {

namespace {

/// Use below this in every kind is forgotten: a hundredth of the smallest task.
constexpr double negligibleAmount = 0.01;

/// Query time observed for less than a few plans says little about a rate.
constexpr Milliseconds minObserved{300};

double seconds(Microseconds span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void AccountUse::observe(const AccountLoads &loads,
                         std::optional<std::uint32_t> queriesExhaustedFrom, Instant now)
{
    const double memory = seconds(useMemory);
    const double since = this->observedAt ? std::max(0.0, seconds(now - *this->observedAt)) : 0.0;
    const double kept = std::exp(-since / memory);
    const double added = this->observedAt ? 1.0 - kept : 1.0;
    this->decay(kept);
    for (AccountLoads::Row row = 0; row < loads.size(); ++row) {
        const AccountLoad &load = loads[row];
        if (load.placedTasks == 0)
            continue;
        SharedAmounts &use = this->accounts[loads.accounts()[loads.accountOf(row)]]
                                           [loads.queues()[loads.queueOf(row)]];
        for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
            use[kind] += added * static_cast<double>(load.placed.amounts[kind]);
    }
    this->addQueries(loads);
    this->dropNegligible();
    this->observedFrom = this->observedFrom.value_or(now);
    this->observedAt = now;
    this->exhaustedFrom = queriesExhaustedFrom;
}

void AccountUse::addQueries(const AccountLoads &loads)
{
    for (AccountLoads::Row row = 0; row < loads.size(); ++row) {
        const AccountLoad &load = loads[row];
        if (load.queryMs <= 0.0)
            continue;
        this->accounts[loads.accounts()[loads.accountOf(row)]][loads.queues()[loads.queueOf(row)]]
                      [queryTimeKind] += load.queryMs / seconds(useMemory);
    }
}

void AccountUse::forgetRun(const std::string &account, const std::string &queue,
                           const Resources &amount)
{
    const auto queues = this->accounts.find(account);
    if (queues == this->accounts.end())
        return;
    const auto use = queues->second.find(queue);
    if (use == queues->second.end())
        return;
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
        double &used = use->second[kind];
        used = std::max(0.0, used - static_cast<double>(amount.amounts[kind]));
    }
}

double AccountUse::queryTimeFactor() const
{
    if (!this->observedFrom)
        return 1.0;
    const double memory = seconds(useMemory);
    const double observed = seconds(*this->observedAt - *this->observedFrom);
    return memory / std::clamp(observed, seconds(minObserved), memory);
}

void AccountUse::decay(double kept)
{
    for (auto &[account, queues] : this->accounts) {
        for (auto &[queue, use] : queues) {
            for (double &amount : use)
                amount *= kept;
        }
    }
}

void AccountUse::dropNegligible()
{
    const auto isNegligible = [](const SharedAmounts &use) {
        return std::all_of(use.begin(), use.end(),
                           [](double amount) { return amount < negligibleAmount; });
    };
    for (auto account = this->accounts.begin(); account != this->accounts.end();) {
        ByQueue &queues = account->second;
        for (auto queue = queues.begin(); queue != queues.end();)
            queue = isNegligible(queue->second) ? queues.erase(queue) : std::next(queue);
        account = queues.empty() ? this->accounts.erase(account) : std::next(account);
    }
}

const AccountUse::ByQueue &AccountUse::recent(const std::string &account) const
{
    static const ByQueue none;
    const auto queues = this->accounts.find(account);
    return queues == this->accounts.end() ? none : queues->second;
}

void AccountUse::clear()
{
    this->accounts.clear();
    this->observedFrom.reset();
    this->observedAt.reset();
    this->exhaustedFrom.reset();
}

} // namespace guavavalve::workflows
