#include <catch2/catch.hpp>

#include "decisions/fairscheduler.h"
#include "decisions/firstfitscheduler.h"
#include "randomcell.h"

using namespace guavavalve;
using namespace guavavalve::testing;

namespace {

constexpr std::uint32_t seeds = 60;
constexpr int steps = 2000;

template<typename Kind>
void checkInvariants(std::uint32_t seed, int stepCount)
{
    Kind scheduler;
    RandomCell cell(scheduler, seed);
    for (int step = 0; step < stepCount; ++step) {
        cell.step();
        INFO("seed " << seed << ", step " << step << ": " << cell.checked.violation);
        REQUIRE(cell.checked.violation.empty());
        const Statistics statistics = scheduler.statistics();
        std::size_t running = 0;
        std::size_t waiting = 0;
        for (const ClassStatistics &counts : statistics.classes) {
            running += counts.running;
            waiting += counts.waiting;
        }
        REQUIRE(running == cell.checked.placed.size());
        REQUIRE(waiting == cell.checked.waiting.size());
    }
}

} // namespace

TEST_CASE("random events break no invariant of the fair scheduler", "[property]")
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        checkInvariants<FairScheduler>(seed, steps);
}

TEST_CASE("random events break no invariant of the first-fit scheduler", "[property]")
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed)
        checkInvariants<FirstFitScheduler>(seed, 1000);
}
