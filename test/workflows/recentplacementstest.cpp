#include <catch2/catch.hpp>

#include "workflows/store/recentplacements.h"

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

Instant at(std::int64_t ms)
{
    return Instant{} + Milliseconds(1000 + ms);
}

StepAddress step(std::uint16_t number)
{
    return {static_cast<WorkflowId>(1), 0, number};
}

} // namespace

TEST_CASE("recent placements are known, and older ones take no memory", "[placements]")
{
    RecentPlacements recent(at(0));
    recent.placed(step(1), 1, at(100));
    recent.placed(step(1), 2, at(200));
    CHECK(recent.placedAt(step(1), 1) == at(100));
    CHECK(recent.placedAt(step(1), 2) == at(200));
    recent.placed(step(2), 1, at(30000));
    CHECK(recent.size() == 1);
    CHECK(recent.placedAt(step(1), 1) <= at(200));
}

// Guards against a run that counts as placed long ago because this replica did not see it placed.
TEST_CASE("placements from before the state was replaced may be as recent as that", "[placements]")
{
    RecentPlacements recent(at(0));
    CHECK(recent.placedAt(step(1), 1) == at(0));
    recent.placed(step(1), 1, at(100));
    recent.forgetAll(at(5000));
    CHECK(recent.placedAt(step(1), 1) == at(5000));
}
