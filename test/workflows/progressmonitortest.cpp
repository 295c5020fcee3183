#include <catch2/catch.hpp>

#include "workflows/progressmonitor.h"

#include <vector>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

/// A target that lists runs of a second each, estimated rightly, with the percent that a test says.
struct WatchFixture
{
    static TaskAddress task(std::uint16_t index)
    {
        return {{static_cast<WorkflowId>(1), 0, 0}, index};
    }
    /// A list \a later than the last one.
    void list(Milliseconds later, const std::vector<int> &percents,
              std::uint32_t estimatedMs = 1000, bool isAlone = true)
    {
        this->now += later;
        std::vector<RunningTask> running;
        std::vector<ExpectedRun> expected;
        for (const int percent : percents) {
            const TaskAddress next = task(static_cast<std::uint16_t>(running.size()));
            running.push_back({next, 1, "", percent});
            expected.push_back({next, 1, estimatedMs, isAlone});
        }
        this->watch.listed(running, expected, this->now);
    }

    ProgressMonitor watch;
    Instant now{std::chrono::seconds(100)};
    Milliseconds stop{900};
};

} // namespace

TEST_CASE_METHOD(WatchFixture, "runs that go on are left where they are", "[progress]")
{
    this->list(Milliseconds(0), {10, 20});
    this->list(Milliseconds(400), {45, 60});
    this->list(Milliseconds(500), {95, 99});
    CHECK_FALSE(this->watch.isStalled());
    CHECK(this->watch.runsWorthMoving(this->stop).empty());
}

// Callers' estimates are far off. Work that took five times as long was taken for work on a slow
// target, and was stopped and begun anew there and elsewhere.
TEST_CASE_METHOD(WatchFixture, "runs that take longer than estimated are not stalled", "[progress]")
{
    this->list(Milliseconds(0), {0, 0});
    this->list(Milliseconds(1000), {20, 20});
    this->list(Milliseconds(1000), {40, 40});
    CHECK_FALSE(this->watch.isStalled());
}

// A target answers, beats and lists what runs on it, and does nothing. Short work on it came 3 to 7
// s late, and new work was sent there since it had room.
TEST_CASE_METHOD(WatchFixture, "runs that stand still are better off elsewhere", "[progress]")
{
    this->list(Milliseconds(0), {30, 0});
    this->list(Milliseconds(400), {30, 0});
    CHECK_FALSE(this->watch.isStalled()); // too early to tell
    this->list(Milliseconds(600), {30, 0});
    CHECK(this->watch.isStalled());
    CHECK(this->watch.runsWorthMoving(this->stop).size() == 2);
    this->list(Milliseconds(1000), {99, 99});
    CHECK_FALSE(this->watch.isStalled());
}

// A target turns six times as slow under the work that it has.
TEST_CASE_METHOD(WatchFixture, "runs that begin to crawl are better off elsewhere", "[progress]")
{
    this->list(Milliseconds(0), {0, 0});
    this->list(Milliseconds(400), {25, 30});
    this->list(Milliseconds(500), {56, 60});
    CHECK_FALSE(this->watch.isStalled());
    this->list(Milliseconds(900), {60, 64});
    CHECK(this->watch.isStalled());
    CHECK(this->watch.runsWorthMoving(this->stop).size() == 2);
}

// One run that crawls may have come to a slow part of its work.
TEST_CASE_METHOD(WatchFixture, "a target is judged by all of its runs", "[progress]")
{
    this->list(Milliseconds(0), {0, 0});
    this->list(Milliseconds(400), {10, 10});
    this->list(Milliseconds(500), {22, 22});
    this->list(Milliseconds(900), {23, 44});
    CHECK_FALSE(this->watch.isStalled());
}

// Begun again, a long task would come later than the target's stall is likely to end.
TEST_CASE_METHOD(WatchFixture, "a long run without a checkpoint waits for its target", "[progress]")
{
    this->list(Milliseconds(0), {50}, 6000);
    this->list(Milliseconds(1000), {50}, 6000);
    CHECK(this->watch.isStalled());
    CHECK(this->watch.runsWorthMoving(this->stop).empty());
}

// Members of a gang wait for each other: one target's stall holds up runs on all the others.
TEST_CASE_METHOD(WatchFixture, "members of a gang say nothing of their target", "[progress]")
{
    this->list(Milliseconds(0), {10, 10}, 1000, false);
    this->list(Milliseconds(1500), {10, 10}, 1000, false);
    CHECK_FALSE(this->watch.isStalled());
}
