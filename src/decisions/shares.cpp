#include "decisions/shares.h"

#include <algorithm>
#include <cmath>

namespace guavavalve::internal {

namespace {

constexpr int bisectionSteps = 60;

/// A team's demand, as a dominant share and a mixture of resources.
struct Demand
{
    double share = 0.0; ///< dominant share of all that it has placed and waiting
    double weight = 1.0;
    /// Fraction of the fleet per unit of share, by kind of resource.
    std::array<double, resourceKindCount> mixture{};
};

double fraction(std::int64_t amount, std::int64_t total)
{
    return total > 0 ? static_cast<double>(amount) / static_cast<double>(total) : 0.0;
}

Demand demandOf(const TeamDemand &team, const Resources &total)
{
    Demand demand;
    demand.weight = std::max(team.policy.weight, 1e-6);
    Resources wanted = team.placed + team.waitingNeed;
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
        wanted.amounts[kind] = std::min(wanted.amounts[kind], team.policy.limit.amounts[kind]);
    demand.share = wanted.dominantShare(total);
    if (demand.share <= 0.0)
        return demand;
    const double placedShare = team.placed.dominantShare(total);
    const Resources &mixed = placedShare > 0.0 ? team.placed : wanted;
    const double mixedShare = mixed.dominantShare(total);
    for (std::size_t kind = 0; kind < resourceKindCount && mixedShare > 0.0; ++kind)
        demand.mixture[kind] = fraction(mixed.amounts[kind], total.amounts[kind]) / mixedShare;
    return demand;
}

/// True if every team can be given up to \a level times its weight within \a room.
bool fits(const std::vector<Demand> &demands, const std::array<double, resourceKindCount> &room,
          double level)
{
    std::array<double, resourceKindCount> sum{};
    for (const Demand &demand : demands) {
        const double share = std::min(demand.share, demand.weight * level);
        for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
            sum[kind] += share * demand.mixture[kind];
    }
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
        if (sum[kind] > room[kind] * (1.0 + 1e-9))
            return false;
    }
    return true;
}

double fillingLevel(const std::vector<Demand> &demands, const Statistics &statistics)
{
    std::array<double, resourceKindCount> room{};
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
        room[kind] = fraction(statistics.placed.amounts[kind], statistics.total.amounts[kind]);
    double low = 0.0;
    double high = 0.0;
    for (const Demand &demand : demands)
        high = std::max(high, demand.share / demand.weight);
    if (fits(demands, room, high))
        return high;
    for (int step = 0; step < bisectionSteps; ++step) {
        const double middle = (low + high) / 2.0;
        (fits(demands, room, middle) ? low : high) = middle;
    }
    return low;
}

void countTargets(const Ledger &ledger, Statistics &statistics)
{
    for (Index index = 0; index < ledger.fleet.limit(); ++index) {
        const TargetRecord &target = ledger.fleet[index];
        statistics.targets += target.known ? 1 : 0;
        statistics.departing += target.known && target.info.departing ? 1 : 0;
    }
}

} // namespace

void fillShares(Statistics &statistics, const std::vector<TeamDemand> &teams)
{
    std::vector<Demand> demands;
    demands.reserve(teams.size());
    for (const TeamDemand &team : teams)
        demands.push_back(demandOf(team, statistics.total));
    const double level = fillingLevel(demands, statistics);
    for (std::size_t i = 0; i < teams.size(); ++i) {
        TeamStatistics &entry = statistics.teams[i];
        entry.share = teams[i].placed.dominantShare(statistics.total);
        entry.fairShare = std::min(demands[i].share, demands[i].weight * level);
    }
}

Statistics shareStatistics(const Ledger &ledger)
{
    Statistics statistics;
    statistics.total = ledger.fleet.total();
    statistics.placed = ledger.placed;
    statistics.packing = ledger.placed.dominantShare(statistics.total);
    statistics.classes = ledger.classes;
    countTargets(ledger, statistics);
    std::vector<TeamDemand> demands;
    for (Index team = 0; team < ledger.teams.limit(); ++team) {
        const TeamRecord &record = ledger.teams[team];
        TeamStatistics entry;
        entry.team = record.policy.team;
        entry.placed = record.placed;
        entry.limit = record.policy.limit;
        entry.running = record.running;
        entry.waiting = record.waitingTasks();
        statistics.teams.push_back(entry);
        demands.push_back(TeamDemand{record.policy, record.placed, record.waitingNeed});
    }
    fillShares(statistics, demands);
    std::sort(statistics.teams.begin(), statistics.teams.end(),
              [](const auto &a, const auto &b) { return a.team < b.team; });
    return statistics;
}

} // namespace guavavalve::internal
