#include <catch2/catch.hpp>

#include "smallcell.h"

using namespace guavavalve;
using namespace guavavalve::testing;

// Two teams fill the cell and each always has more waiting. As tasks end, each must hold its part
// by weight, whoever came first.
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

// A team alone takes the whole cell. When the owner of the other half comes back with work, it
// must not wait until the long tasks of the first end by themselves.
TEST_CASE("an unused share is lent and taken back", "[shares]")
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
    // Taken back once, not to and fro.
    CHECK(countOf(decisions, DecisionKind::Checkpoint) <= 40);
    CHECK(cell.checked.violation.empty());
}

// A change of configuration lowers a team's limit below what it runs. Nothing more may start, and
// what is over the limit has to end, no more than that.
TEST_CASE("a limit lowered below what runs ends the excess and starts nothing", "[limits]")
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

// A job that is not repeatable must not be ended to make room, or its confirmation could be lost.
TEST_CASE("work that is not repeatable is never ended to make room", "[limits]")
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
