#include "decisions/headroom.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace guavavalve::internal {

namespace {

/// Standard deviations of a Poisson load above its mean that the pool holds.
constexpr double deviationsHeld = 3.0;
/// The pool shrinks only when it is larger than wanted by this factor, so that it does not swing.
constexpr double shrinkAbove = 1.25;
/// Assumed until prompt tasks have ended.
constexpr double assumedRunSeconds = 0.1;
/// Arrivals a second below which nothing is kept.
constexpr double quietRate = 0.01;
constexpr Index maxTargetsSeen = 64;
constexpr std::size_t minChangesAtOnce = 2;
constexpr std::size_t changesPart = 16;

} // namespace

Headroom::Headroom(Ledger &books)
    : ledger(books)
{}

void Headroom::promptArrived(const Resources &charge, Instant now)
{
    this->arrivals.add(now);
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
        this->charges[kind].add(static_cast<double>(charge.amounts[kind]));
}

void Headroom::promptEnded(Microseconds runTime)
{
    this->runSeconds.add(std::chrono::duration<double>(runTime).count());
}

Resources Headroom::meanCharge() const
{
    Resources charge;
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
        charge.amounts[kind] =
            static_cast<std::int64_t>(std::ceil(this->charges[kind].mean() - 1e-3));
    }
    return charge;
}

double Headroom::wantedTasks(Instant now) const
{
    const double rate = this->arrivals.at(now);
    if (rate < quietRate)
        return 0.0;
    const double seconds =
        this->runSeconds.count() > 0 ? this->runSeconds.mean() : assumedRunSeconds;
    const double load = rate * seconds;
    return load + deviationsHeld * std::sqrt(load) + 1.0;
}

double Headroom::capacityOf(const TargetRecord &target, const Resources &charge) const
{
    double capacity = std::numeric_limits<double>::max();
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
        if (charge.amounts[kind] > 0) {
            capacity = std::min(capacity,
                                std::floor(static_cast<double>(target.info.total.amounts[kind])
                                           / static_cast<double>(charge.amounts[kind])));
        }
    }
    return capacity;
}

void Headroom::update(Instant now)
{
    const double wanted = this->wantedTasks(now);
    if (wanted == 0.0 && this->pool.empty())
        return;
    const Resources charge = this->meanCharge();
    double capacity = 0.0;
    this->domains.fill(0);
    for (std::size_t i = this->pool.size(); i > 0; --i) {
        const TargetRecord &target = this->ledger.fleet[this->pool[i - 1]];
        if (target.zone() == Zone::Closed) {
            this->letGo(i - 1);
            continue;
        }
        capacity += this->capacityOf(target, charge);
        ++this->domains[target.info.failureDomain % this->domains.size()];
    }
    const double part = this->ledger.policy.of(WorkClass::Prompt).maxShare;
    const auto most =
        static_cast<std::size_t>(part * static_cast<double>(this->ledger.fleet.known()));
    std::size_t changes = minChangesAtOnce + this->pool.size() / changesPart;
    while (capacity < wanted && this->pool.size() < most && changes-- > 0) {
        const Index target = this->pick(charge);
        if (target == noIndex)
            return;
        capacity += this->capacityOf(this->ledger.fleet[target], charge);
        this->takeIn(target);
    }
    while (!this->pool.empty() && changes-- > 0) {
        const double last = this->capacityOf(this->ledger.fleet[this->pool.back()], charge);
        if (wanted > 0.0 && capacity - last < wanted * shrinkAbove)
            return;
        capacity -= last;
        this->letGo(this->pool.size() - 1);
    }
}

Index Headroom::pick(const Resources &charge)
{
    const Index limit = this->ledger.fleet.limit();
    Index best = noIndex;
    double bestScore = std::numeric_limits<double>::max();
    for (Index i = 0; i < std::min(limit, maxTargetsSeen); ++i) {
        this->cursor = (this->cursor + 1) % limit;
        const TargetRecord &target = this->ledger.fleet[this->cursor];
        if (target.zone() != Zone::Normal || !charge.fitsInto(target.info.total))
            continue;
        // Spread over failure domains first; then where least stands that has to end before the
        // room is there, and where no accelerator is kept from those that need one.
        const double score = 10.0 * this->domains[target.info.failureDomain % this->domains.size()]
            + target.placed.dominantShare(target.info.total)
            + (target.info.total[ResourceKind::Accelerators] > 0 ? 1.0 : 0.0);
        if (score < bestScore) {
            bestScore = score;
            best = this->cursor;
        }
    }
    return best;
}

void Headroom::takeIn(Index target)
{
    this->pool.push_back(target);
    ++this->domains[this->ledger.fleet[target].info.failureDomain % this->domains.size()];
    this->ledger.fleet[target].headroom = true;
    this->ledger.fleet.refresh(target);
}

void Headroom::letGo(std::size_t position)
{
    const Index index = this->pool[position];
    this->pool[position] = this->pool.back();
    this->pool.pop_back();
    TargetRecord &target = this->ledger.fleet[index];
    target.headroom = false;
    this->ledger.fleet.refresh(index);
    this->ledger.markFreed(index);
}

} // namespace guavavalve::internal
