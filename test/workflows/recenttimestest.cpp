#include <catch2/catch.hpp>

#include "workflows/store/recenttimes.h"

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

Instant at(std::int64_t ms)
{
    return Instant{} + Milliseconds(1000 + ms);
}

} // namespace

TEST_CASE("recent times are known, and older ones take no memory", "[recent]")
{
    RecentTimes<int> recent(at(0));
    recent.record(1, at(100));
    recent.record(2, at(200));
    CHECK(recent.latest(1) == at(100));
    CHECK(recent.latest(2) == at(200));
    recent.record(1, at(300));
    CHECK(recent.latest(1) == at(300));
    recent.record(3, at(30000));
    CHECK(recent.size() == 1);
    CHECK(recent.latest(1) <= at(300));
}

// Guards against an order that counts as sent long ago because this replica did not see it decided.
TEST_CASE("times from before the state was replaced may be as recent as that", "[recent]")
{
    RecentTimes<int> recent(at(0));
    CHECK(recent.latest(1) == at(0));
    recent.record(1, at(100));
    recent.forgetAll(at(5000));
    CHECK(recent.latest(1) == at(5000));
}
