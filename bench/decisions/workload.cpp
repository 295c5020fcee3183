#include "workload.h"

namespace guavavalve::bench {

namespace {

struct Layout
{
    std::uint32_t targets = 0;
    std::uint32_t domains = 1;
    std::uint32_t perRack = 1;
};

void addTargets(Deployment &deployment, const Layout &layout, const std::vector<Resources> &sizes)
{
    for (std::uint32_t i = 0; i < layout.targets; ++i) {
        TargetInfo target;
        target.id = TargetId(i + 1);
        target.incarnation = 1;
        target.rack = static_cast<std::uint16_t>(i / layout.perRack);
        target.failureDomain = static_cast<std::uint16_t>(target.rack % layout.domains);
        target.total = sizes[i % sizes.size()];
        deployment.total += target.total;
        deployment.targets.push_back(target);
    }
}

/// Weights rotate from one to three; every tenth team has an upper limit.
void addTeams(Deployment &deployment, std::uint32_t teams)
{
    for (std::uint32_t i = 0; i < teams; ++i) {
        TeamPolicy team;
        team.team = TeamId(i + 1);
        team.weight = 1.0 + i % 3;
        if (i % 10 == 9) {
            const auto kind = ResourceKind::MilliCores;
            team.limit[kind] = deployment.total[kind] / teams;
        }
        deployment.policy.teams.push_back(team);
    }
}

Resources makeResources(std::int64_t cores, std::int64_t gigabytes, std::int64_t accelerators,
                        std::int64_t slots, std::int64_t connections)
{
    return Resources{{cores * 1000, gigabytes * 1000, accelerators, slots, connections}};
}

} // namespace

Deployment brandvold()
{
    Deployment cell;
    cell.name = "brandvold";
    addTargets(cell, Layout{48, 3, 8}, {makeResources(16, 32, 0, 8, 64)});
    addTeams(cell, 6);
    cell.kinds = {
        {WorkClass::Prompt, Resources{{500, 500, 0, 1, 2}}, 1, 0.1, 0.10}, // status checks
        {WorkClass::Service, Resources{{1500, 3000, 0, 1, 8}}, 3, 300, 0.10},
        {WorkClass::Batch, Resources{{2500, 3000, 0, 1, 1}}, 4, 6, 0.25}, // die-wear
        {WorkClass::Batch, Resources{{7000, 9000, 0, 1, 2}}, 1, 20, 0.20}, // schedule builds
        {WorkClass::Batch, Resources{{3000, 13000, 0, 1, 2}}, 1, 15, 0.20},
        {WorkClass::Gang, Resources{{5000, 8000, 0, 1, 4}}, 6, 15, 0.15},
    };
    return cell;
}

Deployment cwmMeryw()
{
    Deployment cell;
    cell.name = "cwm-meryw";
    addTargets(cell, Layout{48, 4, 6}, {makeResources(32, 128, 0, 8, 64)});
    addTeams(cell, 6);
    cell.kinds = {
        {WorkClass::Prompt, Resources{{1000, 2000, 0, 1, 4}}, 1, 0.05, 0.30}, // confirmations
        {WorkClass::Service, Resources{{4000, 12000, 0, 1, 8}}, 4, 300, 0.15},
        {WorkClass::Batch, Resources{{5000, 24000, 0, 1, 1}}, 2, 10, 0.20}, // itineraries
        {WorkClass::Batch, Resources{{14000, 36000, 0, 1, 2}}, 1, 25, 0.20},
        {WorkClass::Gang, Resources{{9000, 40000, 0, 1, 4}}, 4, 12, 0.15},
    };
    return cell;
}

Deployment largeFleet(std::uint32_t targets, std::uint32_t teams)
{
    Deployment cell;
    cell.name = "large-" + std::to_string(targets);
    const Resources plain = makeResources(32, 128, 0, 16, 256);
    const Resources accelerated = makeResources(64, 256, 8, 16, 256);
    addTargets(cell, Layout{targets, 9, 40}, {plain, plain, accelerated, plain});
    addTeams(cell, teams);
    cell.kinds = {
        {WorkClass::Prompt, Resources{{1000, 2000, 0, 1, 2}}, 1, 1, 0.04},
        {WorkClass::Service, Resources{{5000, 20000, 0, 1, 8}}, 4, 3000, 0.16},
        {WorkClass::Batch, Resources{{3000, 9000, 0, 1, 1}}, 4, 10, 0.20},
        {WorkClass::Batch, Resources{{14000, 40000, 0, 1, 2}}, 1, 60, 0.20},
        {WorkClass::Batch, Resources{{6000, 50000, 0, 1, 2}}, 1, 40, 0.15},
        {WorkClass::Batch, Resources{{7000, 28000, 1, 1, 2}}, 1, 60, 0.15},
        {WorkClass::Gang, Resources{{12000, 48000, 2, 1, 4}}, 8, 60, 0.10},
    };
    return cell;
}

} // namespace guavavalve::bench
