#include "workflows/shares/accountuse.h"

#include "workflows/shares/accountloads.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace guavavalve::workflows {

namespace {

/// Use below this in every kind is forgotten: a hundredth of the smallest task.
constexpr double negligibleAmount = 0.01;

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
    for (std::size_t account = 0; account < loads.accounts().size(); ++account) {
        ByQueue &queues = this->accounts[loads.accounts()[account]];
        for (std::size_t queue = 0; queue < loads.queues().size(); ++queue) {
            const AccountLoad &load = loads[loads.row(account, queue)];
            if (load.placedTasks == 0 && load.queryMs <= 0.0)
                continue;
            SharedAmounts &use = queues[loads.queues()[queue]];
            for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
                use[kind] += added * static_cast<double>(load.placed.amounts[kind]);
            use[queryTimeKind] += load.queryMs / memory;
        }
    }
    this->dropNegligible();
    this->observedAt = now;
    this->exhaustedFrom = queriesExhaustedFrom;
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

SharedAmounts AccountUse::recent(const std::string &account, const std::string &queue) const
{
    const auto queues = this->accounts.find(account);
    if (queues == this->accounts.end())
        return {};
    const auto found = queues->second.find(queue);
    return found == queues->second.end() ? SharedAmounts{} : found->second;
}

void AccountUse::clear()
{
    this->accounts.clear();
    this->observedAt.reset();
    this->exhaustedFrom.reset();
}

} // namespace guavavalve::workflows
