#include "decisions/victimset.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace guavavalve::internal {

namespace {

constexpr std::size_t maxExactVictims = 8;

VictimSet setFromMask(const std::vector<Victim> &victims, std::uint32_t mask)
{
    VictimSet set;
    set.sufficient = true;
    for (std::size_t i = 0; i < victims.size(); ++i) {
        if ((mask & (1U << i)) == 0)
            continue;
        set.tasks.push_back(victims[i].task);
        set.cost += victims[i].cost;
    }
    return set;
}

VictimSet exactSet(const std::vector<Victim> &victims, const Resources &wanted)
{
    double best = std::numeric_limits<double>::max();
    std::uint32_t bestMask = 0;
    for (std::uint32_t mask = 1; mask < (1U << victims.size()); ++mask) {
        Resources room;
        double cost = 0.0;
        for (std::size_t i = 0; i < victims.size() && cost < best; ++i) {
            if ((mask & (1U << i)) == 0)
                continue;
            room += victims[i].room;
            cost += victims[i].cost;
        }
        if (cost < best && wanted.fitsInto(room)) {
            best = cost;
            bestMask = mask;
        }
    }
    return bestMask == 0 ? VictimSet() : setFromMask(victims, bestMask);
}

VictimSet greedySet(std::vector<Victim> victims, const Resources &wanted)
{
    std::sort(victims.begin(), victims.end(), [](const auto &a, const auto &b) {
        return a.cost < b.cost || (a.cost == b.cost && a.task < b.task);
    });
    Resources room;
    std::size_t count = 0;
    while (count < victims.size() && !wanted.fitsInto(room))
        room += victims[count++].room;
    if (!wanted.fitsInto(room))
        return {};
    VictimSet set;
    set.sufficient = true;
    for (std::size_t i = count; i > 0; --i) {
        const Victim &victim = victims[i - 1];
        if (wanted.fitsInto(room - victim.room)) {
            room -= victim.room;
            continue;
        }
        set.tasks.push_back(victim.task);
        set.cost += victim.cost;
    }
    return set;
}

} // namespace

VictimSet cheapestSet(std::vector<Victim> victims, const Resources &wanted)
{
    if (victims.size() <= maxExactVictims)
        return exactSet(victims, wanted);
    return greedySet(std::move(victims), wanted);
}

} // namespace guavavalve::internal
