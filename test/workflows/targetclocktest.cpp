#include <catch2/catch.hpp>

#include "workflows/sessions/targetclock.h"

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr std::int64_t driftPerThousand = 20;

Instant at(std::int64_t ms)
{
    return Instant{} + Milliseconds(1000 + ms);
}

} // namespace

TEST_CASE("a target's clock is estimated from its latest answer", "[targetclock]")
{
    TargetClock clock(driftPerThousand);
    CHECK_FALSE(clock.isKnown());
    clock.answered(400000, at(0));
    CHECK(clock.isKnown());
    CHECK(clock.estimateAt(at(500)) == 400500);
}

// Guards against an order of which it counts as answered by one incarnation what another has done.
TEST_CASE("a reading that is too early is of another incarnation", "[targetclock]")
{
    TargetClock clock(driftPerThousand);
    CHECK_FALSE(clock.isBeforePossible(5, at(0))); // nothing is known yet
    clock.answered(10000, at(0));
    CHECK(clock.isBeforePossible(5, at(100)));
    CHECK(clock.isBeforePossible(12000, at(5000)));
    CHECK_FALSE(clock.isBeforePossible(0, at(5000))); // no reading
    CHECK_FALSE(clock.isBeforePossible(14900, at(5000))); // a slow clock
    CHECK_FALSE(clock.isBeforePossible(9900, at(-100))); // answers that overtake each other
}
