#include <catch2/catch.hpp>

#include "workflows/controller/controller.h"
#include "workflows/reports/reportfilter.h"

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

TEST_CASE("an acknowledged report counts as a repetition until one is due to be forwarded",
          "[reports]")
{
    ReportFilter filter;
    CHECK_FALSE(filter.isRepetition(reportOf("a", 1), start));
    filter.acknowledged(reportOf("a", 1), start);
    CHECK(filter.isRepetition(reportOf("a", 2), start + Milliseconds(1500)));
    CHECK_FALSE(filter.isRepetition(reportOf("b", 1), start));
    CHECK_FALSE(filter.isRepetition(reportOf("a", 9), start + ReportFilter::forwardInterval));
}

// Guards against a drain that an instance acknowledges without having told the controller.
TEST_CASE("a report with new information is not a repetition", "[reports]")
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

TEST_CASE("targets that no longer report are dropped from the table", "[reports]")
{
    ReportFilter filter;
    for (int i = 0; i < 100; ++i)
        filter.acknowledged(reportOf("old" + std::to_string(i), 1), start);
    filter.acknowledged(reportOf("a", 1), start + Milliseconds(60000));
    CHECK(filter.size() == 1);
}

TEST_CASE("reports that match the stored state are forwarded spread over the interval", "[reports]")
{
    ReportFilter filter;
    constexpr int targets = 1000;
    int passed = 0;
    for (int i = 0; i < targets; ++i)
        CHECK(filter.acknowledgeStored(reportOf("t" + std::to_string(i), 1), start));
    const Instant half = start + ReportFilter::forwardInterval / 2;
    for (int i = 0; i < targets; ++i)
        passed += filter.isRepetition(reportOf("t" + std::to_string(i), 2), half) ? 0 : 1;
    CHECK(passed > targets / 3);
    CHECK(passed < 2 * targets / 3);
    CHECK_FALSE(filter.isRepetition(reportOf("t1", 2, false), start));
}

TEST_CASE("an instance that cannot reach the controller acknowledges a stored report only once",
          "[reports]")
{
    ReportFilter filter;
    REQUIRE(filter.acknowledgeStored(reportOf("a", 1), start));
    const Instant later = start + ReportFilter::forwardInterval;
    CHECK_FALSE(filter.isRepetition(reportOf("a", 2), later));
    // The next report has to be forwarded to the controller.
    CHECK_FALSE(filter.acknowledgeStored(reportOf("a", 2), later));
}
