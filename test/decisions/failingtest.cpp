#include <catch2/catch.hpp>

#include "smallcell.h"

using namespace guavavalve;
using namespace guavavalve::testing;

namespace {

/// Runs short batch tasks of two teams for \a time; \a fails tells which attempts fail. Returns the
/// number of starts on each target.
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

// A target fails every task immediately. Since it is always free again, it would attract and fail
// most of the cell's work.
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
    // Once it works again, successful probes release it.
    runWork(cell, std::chrono::minutes(2), [](const auto &) { return false; });
    CHECK(cell.scheduler.statistics().quarantined == 0);
}

// All work of one team fails wherever it runs. The targets are healthy, so none may be quarantined
// and lost to the other team.
TEST_CASE("work that fails everywhere takes no target out of service", "[failing]")
{
    SmallCell cell(20, 2);
    runWork(cell, std::chrono::seconds(20),
            [](const auto &place) { return place.request.team == TeamId(1); });
    CHECK(cell.scheduler.statistics().quarantined == 0);
}

// A fault that affects all targets makes every task fail. Quarantining the whole fleet would leave
// nothing to run work on.
TEST_CASE("quarantine never exceeds its fraction of the fleet", "[failing]")
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

TEST_CASE("a target that returns with a new incarnation is not quarantined", "[failing]")
{
    SmallCell cell(10, 2);
    runWork(cell, std::chrono::seconds(3),
            [](const auto &place) { return place.target == TargetId(4); });
    REQUIRE(cell.scheduler.statistics().quarantined == 1);
    cell.announce(4, 2);
    CHECK(cell.scheduler.statistics().quarantined == 0);
}

// A target is drained. Its running tasks may finish, but no new task may start on it.
TEST_CASE("a departing target gets no new tasks", "[failing]")
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
