#include <catch2/catch.hpp>

#include "workflows/admissionquerybalancer.h"

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
constexpr Milliseconds shortOne{13};
constexpr Milliseconds middleOne{140};
constexpr Milliseconds longOne{700};

} // namespace

TEST_CASE("the instance that is free first asks", "[askers]")
{
    AdmissionQueryBalancer pool;
    pool.trust("a");
    pool.trust("b");
    CHECK(pool.choose(instances(2), shortOne, now) == "a");
    CHECK(pool.choose(instances(2), shortOne, now) == "b");
    CHECK(pool.choose(instances(2), shortOne, now) == "a");
    CHECK(pool.busyUntil("a") == now + 2 * shortOne);
    pool.answered("b", true, now);
    CHECK(pool.choose(instances(2), shortOne, now) == "a"); // the other has just failed
}

TEST_CASE("an instance that may be gone is not given everything", "[askers]")
{
    // Guests waited a second longer for their confirmations after the leading machine had frozen:
    // its successor took it for present, and had it ask about every third step. None of these
    // questions was answered, and each step was asked about again only 0.6 s later.
    AdmissionQueryBalancer pool;
    CHECK(pool.choose(instances(1), shortOne, now));
    CHECK(pool.choose(instances(1), shortOne, now));
    CHECK_FALSE(pool.choose(instances(1), shortOne, now)); // it has not answered yet
    pool.answered("a", false, now);
    CHECK(pool.choose(instances(1), shortOne, now));
    CHECK_FALSE(
        pool.choose(instances(1), shortOne, now + 20 * shortOne)); // its answers are overdue
    pool.answered("a", false, now + 21 * shortOne);
    pool.answered("a", false, now + 21 * shortOne);
    CHECK(pool.choose(instances(1), shortOne, now + 21 * shortOne));
}

TEST_CASE("a full cell's questions leave instances to the shortest", "[askers]")
{
    // Callers that wait for a step of 0.8 s were served a second late while the cell was full: each
    // instance had questions about waiting batch steps queued, 0.14 s each, and theirs of 13 ms
    // came behind.
    AdmissionQueryBalancer pool;
    const auto all = instances(12);
    for (const InstanceId &instance : all)
        pool.answered(instance, false, now);
    while (pool.choose(all, longOne, now))
        continue;
    while (pool.choose(all, middleOne, now))
        continue;
    const auto asker = pool.choose(all, shortOne, now);
    REQUIRE(asker);
    CHECK(pool.busyUntil(*asker) == now + shortOne);
}

TEST_CASE("questions that could only wait are not asked", "[askers]")
{
    AdmissionQueryBalancer pool;
    pool.trust("a");
    CHECK(pool.choose(instances(1), longOne, now));
    CHECK(pool.choose(instances(1), longOne, now));
    CHECK_FALSE(pool.choose(instances(1), longOne, now));
    CHECK(pool.choose(instances(1), longOne, now + longOne));
    CHECK_FALSE(pool.choose({}, shortOne, now));
}
