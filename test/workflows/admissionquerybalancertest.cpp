#include <catch2/catch.hpp>

#include "workflows/queries/admissionquerybalancer.h"

#include <string>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

std::vector<InstanceId> instances(int count)
{
    std::vector<InstanceId> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        names.push_back(std::string(1, static_cast<char>('a' + i)));
    return names;
}

constexpr Instant now{std::chrono::seconds(100)};
constexpr Milliseconds shortQuery{13};
constexpr Milliseconds mediumQuery{140};
constexpr Milliseconds longQuery{700};

} // namespace

TEST_CASE("the instance that is free first sends the query", "[askers]")
{
    AdmissionQueryBalancer pool;
    pool.trust("a");
    pool.trust("b");
    CHECK(pool.choose(instances(2), shortQuery, now) == "a");
    CHECK(pool.choose(instances(2), shortQuery, now) == "b");
    CHECK(pool.choose(instances(2), shortQuery, now) == "a");
    CHECK(pool.busyUntil("a") == now + 2 * shortQuery);
    pool.answered("b", true, now);
    CHECK(pool.choose(instances(2), shortQuery, now) == "a"); // the query of "b" has failed
}

TEST_CASE("an instance that has not answered gets only a few queries", "[askers]")
{
    // Guards against queries lost at a frozen instance. After the leading machine had frozen, its
    // successor still took it for present and sent the queries for every third step through it.
    // None was answered, and each was repeated only 0.6 s later, so callers waited a second longer.
    AdmissionQueryBalancer pool;
    CHECK(pool.choose(instances(1), shortQuery, now));
    CHECK(pool.choose(instances(1), shortQuery, now));
    CHECK_FALSE(pool.choose(instances(1), shortQuery, now)); // it has not answered yet
    pool.answered("a", false, now);
    CHECK(pool.choose(instances(1), shortQuery, now));
    CHECK_FALSE(
        pool.choose(instances(1), shortQuery, now + 20 * shortQuery)); // its answers are overdue
    pool.answered("a", false, now + 21 * shortQuery);
    pool.answered("a", false, now + 21 * shortQuery);
    CHECK(pool.choose(instances(1), shortQuery, now + 21 * shortQuery));
}

TEST_CASE("long queries leave instances free for short ones in a full cell", "[askers]")
{
    // Guards against short queries queued behind long ones. In a full cell every instance had
    // queries of 0.14 s about waiting batch steps pending, so that steps of 0.8 s, whose queries
    // take 13 ms, were a second late.
    AdmissionQueryBalancer pool;
    const auto all = instances(12);
    for (const InstanceId &instance : all)
        pool.answered(instance, false, now);
    while (pool.choose(all, longQuery, now))
        continue;
    while (pool.choose(all, mediumQuery, now))
        continue;
    const auto instance = pool.choose(all, shortQuery, now);
    REQUIRE(instance);
    CHECK(pool.busyUntil(*instance) == now + shortQuery);
}

TEST_CASE("queries that could only wait are not sent", "[askers]")
{
    AdmissionQueryBalancer pool;
    pool.trust("a");
    CHECK(pool.choose(instances(1), longQuery, now));
    CHECK(pool.choose(instances(1), longQuery, now));
    CHECK_FALSE(pool.choose(instances(1), longQuery, now));
    CHECK(pool.choose(instances(1), longQuery, now + longQuery));
    CHECK_FALSE(pool.choose({}, shortQuery, now));
}
