#include <catch2/catch.hpp>

#include "workflows/controller.h"
#include "workflows/reportfilter.h"

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

TargetReport reportOf(const std::string &name, std::uint64_t sequence, bool isReady = true)
{
    TargetReport report;
    report.identity.name = name;
    report.identity.startedAtMs = 1000;
    report.identity.address = "127.0.0.1:80";
    report.isReady = isReady;
    report.sequence = sequence;
    return report;
}

const Instant start{Milliseconds(1000000)};

} // namespace

TEST_CASE("a report that was acknowledged is a repetition for a while", "[reports]")
{
    ReportFilter filter;
    CHECK_FALSE(filter.isRepetition(reportOf("a", 1), start));
    filter.acknowledged(reportOf("a", 1), start);
    CHECK(filter.isRepetition(reportOf("a", 2), start + Milliseconds(1500)));
    CHECK_FALSE(filter.isRepetition(reportOf("b", 1), start));
    CHECK_FALSE(filter.isRepetition(reportOf("a", 9), start + ReportFilter::passInterval));
}

// Guards against a drain that is acknowledged by an instance that has not told the controller.
TEST_CASE("a report that says something new is no repetition", "[reports]")
{
    ReportFilter filter;
    filter.acknowledged(reportOf("a", 1), start);
    CHECK_FALSE(filter.isRepetition(reportOf("a", 2, false), start));
    TargetReport reborn = reportOf("a", 1);
    reborn.identity.startedAtMs = 2000;
    CHECK_FALSE(filter.isRepetition(reborn, start));
    TargetReport moved = reportOf("a", 2);
    moved.identity.address = "127.0.0.2:80";
    CHECK_FALSE(filter.isRepetition(moved, start));
    filter.forget("a");
    CHECK_FALSE(filter.isRepetition(reportOf("a", 2), start));
}

TEST_CASE("targets that are gone are dropped from the table", "[reports]")
{
    ReportFilter filter;
    for (int i = 0; i < 100; ++i)
        filter.acknowledged(reportOf("old" + std::to_string(i), 1), start);
    filter.acknowledged(reportOf("a", 1), start + Milliseconds(60000));
    CHECK(filter.size() == 1);
}

TEST_CASE("a report that is stored already is spread over the interval, not passed on at once",
          "[reports]")
{
    ReportFilter filter;
    constexpr int targets = 1000;
    int passed = 0;
    for (int i = 0; i < targets; ++i)
        CHECK(filter.acknowledgeStored(reportOf("t" + std::to_string(i), 1), start));
    const Instant half = start + ReportFilter::passInterval / 2;
    for (int i = 0; i < targets; ++i)
        passed += filter.isRepetition(reportOf("t" + std::to_string(i), 2), half) ? 0 : 1;
    CHECK(passed > targets / 3);
    CHECK(passed < 2 * targets / 3);
    CHECK_FALSE(filter.isRepetition(reportOf("t1", 2, false), start));
}

TEST_CASE("an instance without a controller does not answer for it again and again", "[reports]")
{
    ReportFilter filter;
    REQUIRE(filter.acknowledgeStored(reportOf("a", 1), start));
    const Instant later = start + ReportFilter::passInterval;
    CHECK_FALSE(filter.isRepetition(reportOf("a", 2), later));
    CHECK_FALSE(
        filter.acknowledgeStored(reportOf("a", 2), later)); // it has to reach the controller
}
