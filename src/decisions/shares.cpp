#include "decisions/shares.h"

#include "core/fairshare.h"

#include <algorithm>

namespace guavavalve::internal {

namespace {

double fraction(std::int64_t amount, std::int64_t total)
{
    return total > 0 ? static_cast<double>(amount) / static_cast<double>(total) : 0.0;
}

MixedDemand demandOf(const TeamDemand &team, const Resources &total)
{
    MixedDemand demand;
    demand.weight = team.policy.weight;
    demand.mixture.assign(resourceKindCount, 0.0);
    Resources wanted = team.placed + team.waitingNeed;
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
        wanted.amounts[kind] = std::min(wanted.amounts[kind], team.policy.limit.amounts[kind]);
    demand.wanted = wanted.dominantShare(total);
    if (demand.wanted <= 0.0)
        return demand;
    const double placedShare = team.placed.dominantShare(total);
    const Resources &mixed = placedShare > 0.0 ? team.placed : wanted;
    const double mixedShare = mixed.dominantShare(total);
    for (std::size_t kind = 0; kind < resourceKindCount && mixedShare > 0.0; ++kind)
        demand.mixture[kind] = fraction(mixed.amounts[kind], total.amounts[kind]) / mixedShare;
    return demand;
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
    std::vector<MixedDemand> demands;
    demands.reserve(teams.size());
    for (const TeamDemand &team : teams)
        demands.push_back(demandOf(team, statistics.total));
    std::vector<double> room;
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
        room.push_back(fraction(statistics.placed.amounts[kind], statistics.total.amounts[kind]));
    const std::vector<double> allotted = fairMixedAllotments(demands, room);
    for (std::size_t i = 0; i < teams.size(); ++i) {
        TeamStatistics &entry = statistics.teams[i];
        entry.share = teams[i].placed.dominantShare(statistics.total);
        entry.fairShare = allotted[i];
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
