#include "daemon/controllermetrics.h"

#include "daemon/replicaruntime.h"
#include "runtime/metrics.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>

namespace guavavalve {

namespace {

constexpr std::array<const char *, 6> targetStates{"ready",     "draining", "evacuated",
                                                   "departing", "lost",     "quarantined"};

const char *stateOf(const TargetRecord &target)
{
    if (target.lapsed)
        return "lost";
    if (target.departing)
        return "departing";
    if (target.draining)
        return "draining";
    return target.evacuated ? "evacuated" : "ready";
}

void exportTargets(ReplicaRuntime &replica, const Statistics &statistics, Metrics &into)
{
    std::map<std::string, std::uint32_t> counts;
    for (const char *state : targetStates)
        counts[state] = 0;
    replica.state().read([&counts](const ClusterState &state) {
        for (const auto &[id, target] : state.targets())
            ++counts[stateOf(target)];
    });
    into.set(Metric::EvacuatedDomains,
             static_cast<double>(replica.state().read(
                 [](const ClusterState &state) { return state.evacuatedDomains().size(); })));
    counts["quarantined"] = statistics.quarantined;
    for (const auto &[state, targets] : counts)
        into.set(Metric::Targets, targets, {state});
}

/// How far the share of a team with waiting tasks is below its fair share.
double shareDeficit(const TeamStatistics &team)
{
    return team.waiting > 0 ? std::max(0.0, team.fairShare - team.share) : 0.0;
}

} // namespace

void ControllerMetrics::refresh(ReplicaRuntime &replica, Metrics &into)
{
    // A former leader keeps stale statistics until it learns of its successor; the leader lease
    // expires sooner.
    if (!replica.log().holdsLeaderLease()) {
        this->clearGauges(into);
        return;
    }
    const Statistics statistics = replica.controller().statistics();
    into.set(Metric::PackingRatio, statistics.packing);
    exportTargets(replica, statistics, into);
    std::map<TeamId, std::string> names;
    replica.state().read([&names](const ClusterState &state) {
        for (const auto &[id, team] : state.teams())
            names[id] = team.name;
    });
    for (const TeamStatistics &team : statistics.teams) {
        const std::string &name = names[team.team];
        if (name.empty())
            continue;
        this->teams.insert(name);
        into.set(Metric::TeamShareRatio, team.share, {name});
        into.set(Metric::ShareDistanceRatio, shareDeficit(team), {name});
        into.set(Metric::TasksPlaced, team.running, {name});
        into.set(Metric::TasksWaiting, team.waiting, {name});
    }
}

void ControllerMetrics::clearGauges(Metrics &into) const
{
    into.set(Metric::PackingRatio, 0.0);
    into.set(Metric::EvacuatedDomains, 0.0);
    for (const char *state : targetStates)
        into.set(Metric::Targets, 0.0, {state});
    for (const std::string &name : this->teams) {
        for (const Metric metric : {Metric::TeamShareRatio, Metric::ShareDistanceRatio,
                                    Metric::TasksPlaced, Metric::TasksWaiting})
            into.set(metric, 0.0, {name});
    }
}

} // namespace guavavalve
