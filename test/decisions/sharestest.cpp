#include <catch2/catch.hpp>

#include "smallcell.h"

using namespace guavavalve;
using namespace guavavalve::testing;

// Two teams compete for a full cell. As tasks end, each team must reach the share given by its
// weight, regardless of which one submitted first.
TEST_CASE("a full cell is shared by weight", "[shares]")
{
    SmallCell cell(8, 2);
    cell.policy.teams[1].weight = 3.0;
    cell.applyPolicy();
    for (int i = 0; i < 400; ++i)
        cell.submit(1, WorkClass::Batch, 1000);
    cell.decide();
    for (int i = 0; i < 400; ++i)
        cell.submit(2, WorkClass::Batch, 1000);
    cell.run(std::chrono::seconds(2), [&cell] {
        if (!cell.checked.placed.empty())
            cell.end(cell.checked.placed.begin()->first);
    });
    CHECK(cell.share(1) == Approx(0.25).margin(0.03));
    CHECK(cell.share(2) == Approx(0.75).margin(0.03));
    CHECK(cell.checked.violation.empty());
}

// One team uses the whole cell while the other is idle. When the other submits work, it must get
// its half back without waiting for the first team's long tasks to end.
TEST_CASE("an unused share is lent and reclaimed", "[shares]")
{
    SmallCell cell(8, 2);
    for (int i = 0; i < 64; ++i)
        cell.submit(1, WorkClass::Batch, 1000);
    cell.decide();
    CHECK(cell.share(1) == Approx(1.0));
    for (int i = 0; i < 64; ++i)
        cell.submit(2, WorkClass::Batch, 1000);
    const auto decisions = cell.run(std::chrono::minutes(20));
    CHECK(cell.share(2) >= 0.45);
    CHECK(cell.share(1) >= 0.45);
    CHECK(countOf(decisions, DecisionKind::Checkpoint) >= 28);
    // The share is reclaimed once; the teams do not preempt each other repeatedly.
    CHECK(countOf(decisions, DecisionKind::Checkpoint) <= 40);
    CHECK(cell.checked.violation.empty());
}

// A configuration change lowers a team's limit below its current use. No further task may start,
// and only as many tasks are preempted as exceed the limit.
TEST_CASE("a limit lowered below current use preempts the excess and starts nothing", "[limits]")
{
    SmallCell cell(8, 1);
    for (int i = 0; i < 40; ++i)
        cell.submit(1, WorkClass::Batch, 1000);
    cell.decide();
    REQUIRE(cell.checked.placed.size() == 40);
    cell.policy.teams[0].limit[ResourceKind::MilliCores] = 15000;
    cell.applyPolicy();
    const auto decisions = cell.run(std::chrono::seconds(30));
    CHECK(countOf(decisions, DecisionKind::Checkpoint) == 25);
    CHECK(countOf(decisions, DecisionKind::Place) == 0);
    CHECK(cell.checked.placed.size() == 15);
    CHECK(cell.reasonOf(cell.checked.waiting.begin()->first) == Reason::TeamLimit);
    CHECK(cell.checked.violation.empty());
}

// A task that is not repeatable must not be preempted, because its confirmation could be lost.
TEST_CASE("work that is not repeatable is never preempted", "[limits]")
{
    SmallCell cell(4, 1);
    TaskRequest request = cell.task(1, WorkClass::Batch, 4000);
    request.repeatable = false;
    cell.submit(request);
    cell.decide();
    cell.policy.teams[0].limit[ResourceKind::MilliCores] = 1000;
    cell.applyPolicy();
    CHECK(cell.run(std::chrono::seconds(30)).empty());
    CHECK(cell.isPlaced(request.id));
}
