#include <catch2/catch.hpp>

#include "smallcell.h"

using namespace guavavalve;
using namespace guavavalve::testing;

namespace {

/// Runs short batch tasks of two teams for a while; \a fails says which attempts fail.
std::map<TargetId, int> runWork(SmallCell &cell, Microseconds time,
                                const std::function<bool(const CheckedScheduler::Place &)> &fails)
{
    std::map<TargetId, int> starts;
    cell.run(time, [&] {
        while (cell.checked.waiting.size() < 60) {
            cell.submit(1, WorkClass::Batch, 2000);
            cell.submit(2, WorkClass::Batch, 3000);
        }
        const auto placed = cell.checked.placed;
        for (const auto &[id, place] : placed) {
            ++starts[place.target];
            cell.end(id, fails(place) ? AttemptOutcome::Failed : AttemptOutcome::Succeeded);
        }
    });
    return starts;
}

} // namespace

// A worker fails all that it starts, at once. Because it is always free again, it would draw in
// and fail most of the cell's work.
TEST_CASE("a target that fails everything gets only probes", "[failing]")
{
    SmallCell cell(10, 2);
    const auto bad = [](const auto &place) { return place.target == TargetId(4); };
    runWork(cell, std::chrono::seconds(3), bad);
    CHECK(cell.scheduler.statistics().quarantined == 1);
    const auto starts = runWork(cell, std::chrono::seconds(60), bad);
    CHECK(starts.count(TargetId(4)) == 1);
    CHECK(starts.at(TargetId(4)) <= 4); // after 5, 10, 20 and 40 s
    CHECK(starts.at(TargetId(5)) > 100);
    // Mended, it comes back by its probes.
    runWork(cell, std::chrono::minutes(2), [](const auto &) { return false; });
    CHECK(cell.scheduler.statistics().quarantined == 0);
}

// One team's job fails wherever it runs. No target is to blame, and none may be taken from the
// other team's work.
TEST_CASE("work that fails everywhere takes no target out of service", "[failing]")
{
    SmallCell cell(20, 2);
    runWork(cell, std::chrono::seconds(20),
            [](const auto &place) { return place.request.team == TeamId(1); });
    CHECK(cell.scheduler.statistics().quarantined == 0);
}

// Something that all targets share breaks, and everything fails everywhere. An empty fleet would
// help nobody.
TEST_CASE("quarantine never takes more than its part of the fleet", "[failing]")
{
    SmallCell cell(20, 2);
    runWork(cell, std::chrono::seconds(5), [](const auto &) { return false; });
    bool within = true;
    for (int i = 0; i < 20; ++i) {
        runWork(cell, std::chrono::seconds(1), [](const auto &) { return true; });
        within = within && cell.scheduler.statistics().quarantined <= 2;
    }
    CHECK(within);
}

TEST_CASE("a target that returns with a new incarnation starts clean", "[failing]")
{
    SmallCell cell(10, 2);
    runWork(cell, std::chrono::seconds(3),
            [](const auto &place) { return place.target == TargetId(4); });
    REQUIRE(cell.scheduler.statistics().quarantined == 1);
    cell.announce(4, 2);
    CHECK(cell.scheduler.statistics().quarantined == 0);
}

// A target is drained for repair. What runs there ends in its own time; nothing new may start.
TEST_CASE("a departing target gets nothing new", "[failing]")
{
    SmallCell cell(1, 1);
    const TaskId first = cell.submit(1, WorkClass::Batch, 1000);
    cell.decide();
    REQUIRE(cell.isPlaced(first));
    cell.announce(1, 1, true);
    const TaskId second = cell.submit(1, WorkClass::Batch, 1000);
    CHECK(cell.run(std::chrono::seconds(1)).empty());
    cell.announce(2, 1);
    cell.run(std::chrono::seconds(2));
    CHECK(cell.targetOf(second) == TargetId(2));
    CHECK(cell.checked.violation.empty());
}
