#include "decisions/headroom.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace guavavalve::internal {

namespace {

/// Standard deviations of a Poisson load above its mean that the pool holds.
constexpr double deviationsHeld = 2.5;
/// The pool shrinks only when it is larger than wanted by this factor, so that it does not swing.
constexpr double shrinkAbove = 1.02;
/// Assumed until prompt tasks have ended.
constexpr double assumedRunSeconds = 0.1;
/// Arrivals a second below which nothing is kept.
constexpr double quietRate = 0.01;
/// Part of a target that is held; the rest is for other work.
constexpr double partHeld = 0.125;
constexpr Index maxTargetsSeen = 32;
constexpr std::size_t minChangesAtOnce = 2;
constexpr std::size_t changesPart = 16;
constexpr std::size_t maxChangesAtOnce = 64;
/// Targets of the pool that are looked at anew in one update.
constexpr std::size_t renewedAtOnce = 1024;

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
        if (charge.amounts[kind] <= 0)
            continue;
        const double fits = static_cast<double>(target.info.total.amounts[kind])
            / static_cast<double>(charge.amounts[kind]);
        capacity = std::min(capacity, std::floor(fits));
    }
    return capacity;
}

double Headroom::tasksOn(const TargetRecord &target, const Resources &charge,
                         double wantedEach) const
{
    const double capacity = this->capacityOf(target, charge);
    const double part = std::max(std::floor(capacity * partHeld), 1.0);
    return std::clamp(wantedEach, std::min(part, capacity), capacity);
}

void Headroom::update(Instant now)
{
    const double wanted = this->wantedTasks(now);
    const std::vector<Index> &pool = this->ledger.fleet.headroomTargets();
    if (wanted == 0.0 && pool.empty())
        return;
    const Resources charge = this->meanCharge();
    const double part = this->ledger.policy.of(WorkClass::Prompt).maxShare;
    const auto most =
        static_cast<std::size_t>(part * static_cast<double>(this->ledger.fleet.known()));
    // Where the part of each target is not enough over all targets, more of each is kept.
    const double each = std::ceil(wanted / static_cast<double>(std::max<std::size_t>(most, 1)));
    this->held.resize(this->ledger.fleet.limit());
    this->renew(charge, each);
    std::size_t changes = std::min(minChangesAtOnce + pool.size() / changesPart, maxChangesAtOnce);
    while (this->capacity < wanted && pool.size() < most && changes-- > 0) {
        const Index target = this->pick(charge);
        if (target == noIndex)
            return;
        this->hold(target, charge, each);
    }
    while (!pool.empty() && changes-- > 0) {
        const double last = this->held[pool.back()].tasks;
        if (wanted > 0.0 && this->capacity - last < wanted * shrinkAbove)
            return;
        this->letGo(pool.back());
    }
}

void Headroom::renew(const Resources &charge, double wantedEach)
{
    const std::vector<Index> &pool = this->ledger.fleet.headroomTargets();
    for (std::size_t i = 0; i < renewedAtOnce && !pool.empty(); ++i) {
        this->renewCursor = (this->renewCursor + 1) % pool.size();
        const Index index = pool[this->renewCursor];
        if (this->ledger.fleet[index].availability() == Availability::Closed)
            this->letGo(index);
        else
            this->hold(index, charge, wantedEach);
        if (i + 1 >= pool.size())
            return;
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
        if (target.availability() != Availability::Normal || target.holdPosition != noIndex
            || !charge.fitsInto(target.info.total))
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

void Headroom::hold(Index index, const Resources &charge, double wantedEach)
{
    const TargetRecord &target = this->ledger.fleet[index];
    const double tasks = this->tasksOn(target, charge, wantedEach);
    Resources wanted;
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
        wanted.amounts[kind] = charge.amounts[kind] * static_cast<std::int64_t>(tasks);
    Held &entry = this->held[index];
    if (entry.tasks == 0.0) {
        entry.domain = target.info.failureDomain % this->domains.size();
        ++this->domains[entry.domain];
    }
    this->capacity += tasks - entry.tasks;
    entry.tasks = tasks;
    if (target.hold == wanted)
        return;
    const bool less = wanted.fitsInto(target.hold);
    this->ledger.fleet.setHeadroom(index, wanted);
    if (less)
        this->ledger.markFreed(index);
}

void Headroom::letGo(Index index)
{
    Held &entry = this->held[index];
    this->capacity -= entry.tasks;
    --this->domains[entry.domain];
    entry = Held();
    this->ledger.fleet.setHeadroom(index, Resources());
    this->ledger.markFreed(index);
}

} // namespace guavavalve::internal
