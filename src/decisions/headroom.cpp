#include "decisions/headroom.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace guavavalve::internal {

namespace {

/// Standard deviations above the mean of a Poisson load that the pool covers.
constexpr double deviationsCovered = 2.5;
/// The pool shrinks only while it exceeds the wanted size by this factor, to avoid oscillation.
constexpr double shrinkThreshold = 1.02;
/// Mean run time assumed until the first prompt task has ended.
constexpr double assumedRunSeconds = 0.1;
/// Arrivals per second below which no headroom is kept.
constexpr double minArrivalRate = 0.01;
/// Fraction of a target that is reserved for prompt work; the rest is for other work.
constexpr double reservedFraction = 0.125;
constexpr Index maxTargetsScanned = 32;
constexpr std::size_t minChangesPerUpdate = 2;
constexpr std::size_t poolTargetsPerChange = 16;
constexpr std::size_t maxChangesPerUpdate = 64;
/// Pool targets whose headroom is recomputed in one update.
constexpr std::size_t refreshedPerUpdate = 1024;

} // namespace

Headroom::Headroom(Ledger &sharedLedger)
    : ledger(sharedLedger)
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
    if (rate < minArrivalRate)
        return 0.0;
    const double seconds =
        this->runSeconds.count() > 0 ? this->runSeconds.mean() : assumedRunSeconds;
    const double load = rate * seconds;
    return load + deviationsCovered * std::sqrt(load) + 1.0;
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

double Headroom::tasksToReserve(const TargetRecord &target, const Resources &charge,
                                double tasksPerTarget) const
{
    const double capacity = this->capacityOf(target, charge);
    const double part = std::max(std::floor(capacity * reservedFraction), 1.0);
    return std::clamp(tasksPerTarget, std::min(part, capacity), capacity);
}

void Headroom::update(Instant now)
{
    const double wanted = this->wantedTasks(now);
    const std::vector<Index> &pool = this->ledger.fleet.headroomTargets();
    if (wanted == 0.0 && pool.empty())
        return;
    const Resources charge = this->meanCharge();
    const double part = this->ledger.policy.of(WorkClass::Prompt).maxShare;
    const auto maxTargets = static_cast<std::size_t>(
        part * static_cast<double>(this->ledger.fleet.nonDepartingTargets()));
    // If the default fraction is not enough over all targets allowed, more of each is reserved.
    const double each =
        std::ceil(wanted / static_cast<double>(std::max<std::size_t>(maxTargets, 1)));
    this->headroomByTarget.resize(this->ledger.fleet.limit());
    this->refreshPool(charge, each);
    std::size_t changes =
        std::min(minChangesPerUpdate + pool.size() / poolTargetsPerChange, maxChangesPerUpdate);
    while (this->capacity < wanted && pool.size() < maxTargets && changes-- > 0) {
        const Index target = this->pickTarget(charge);
        if (target == noIndex)
            return;
        this->reserveOn(target, charge, each);
    }
    while (!pool.empty() && changes-- > 0) {
        const double last = this->headroomByTarget[pool.back()].tasks;
        if (wanted > 0.0 && this->capacity - last < wanted * shrinkThreshold)
            return;
        this->releaseTarget(pool.back());
    }
}

void Headroom::refreshPool(const Resources &charge, double tasksPerTarget)
{
    const std::vector<Index> &pool = this->ledger.fleet.headroomTargets();
    for (std::size_t i = 0; i < refreshedPerUpdate && !pool.empty(); ++i) {
        this->refreshCursor = (this->refreshCursor + 1) % pool.size();
        const Index index = pool[this->refreshCursor];
        if (this->ledger.fleet[index].availability() == Availability::Closed)
            this->releaseTarget(index);
        else
            this->reserveOn(index, charge, tasksPerTarget);
        if (i + 1 >= pool.size())
            return;
    }
}

Index Headroom::pickTarget(const Resources &charge)
{
    const Index limit = this->ledger.fleet.limit();
    Index best = noIndex;
    double bestScore = std::numeric_limits<double>::max();
    for (Index i = 0; i < std::min(limit, maxTargetsScanned); ++i) {
        this->cursor = (this->cursor + 1) % limit;
        const TargetRecord &target = this->ledger.fleet[this->cursor];
        if (target.availability() != Availability::Normal || target.headroomPosition != noIndex
            || !charge.fitsInto(target.info.total))
            continue;
        // Spreads over failure domains first. Then prefers targets with little placed, whose
        // headroom is available sooner, and targets without accelerators, which other work may
        // need.
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

void Headroom::reserveOn(Index index, const Resources &charge, double tasksPerTarget)
{
    const TargetRecord &target = this->ledger.fleet[index];
    const double tasks = this->tasksToReserve(target, charge, tasksPerTarget);
    Resources wanted;
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
        wanted.amounts[kind] = charge.amounts[kind] * static_cast<std::int64_t>(tasks);
    TargetHeadroom &entry = this->headroomByTarget[index];
    if (entry.tasks == 0.0) {
        entry.domain = target.info.failureDomain % this->domains.size();
        ++this->domains[entry.domain];
    }
    this->capacity += tasks - entry.tasks;
    entry.tasks = tasks;
    if (target.headroom == wanted)
        return;
    const bool less = wanted.fitsInto(target.headroom);
    this->ledger.fleet.setHeadroom(index, wanted);
    if (less)
        this->ledger.markFreed(index);
}

void Headroom::releaseTarget(Index index)
{
    TargetHeadroom &entry = this->headroomByTarget[index];
    this->capacity -= entry.tasks;
    --this->domains[entry.domain];
    entry = TargetHeadroom();
    this->ledger.fleet.setHeadroom(index, Resources());
    this->ledger.markFreed(index);
}

} // namespace guavavalve::internal
