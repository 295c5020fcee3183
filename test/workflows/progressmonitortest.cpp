#include <catch2/catch.hpp>

#include "workflows/sessions/progressmonitor.h"

#include <vector>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

/// A target that lists runs of one second each, correctly estimated unless a test says otherwise,
/// with the progress that the test gives in percent.
struct MonitorFixture
{
    static TaskAddress task(std::uint16_t index)
    {
        return {{static_cast<WorkflowId>(1), 0, 0}, index};
    }
    /// Lists the runs, \a later than the last time.
    void list(Milliseconds later, const std::vector<int> &percents,
              std::uint32_t estimatedMs = 1000, bool isIndependent = true)
    {
        this->now += later;
        std::vector<RunningTask> running;
        std::vector<ExpectedRun> expected;
        for (const int percent : percents) {
            const TaskAddress next = task(static_cast<std::uint16_t>(running.size()));
            running.push_back({next, 1, "", percent});
            expected.push_back({next, 1, estimatedMs, isIndependent});
        }
        this->monitor.listed(running, expected, this->now);
    }

    ProgressMonitor monitor;
    Instant now{std::chrono::seconds(100)};
    Milliseconds stop{900};
};

} // namespace

TEST_CASE_METHOD(MonitorFixture, "runs that advance are not moved", "[progress]")
{
    this->list(Milliseconds(0), {10, 20});
    this->list(Milliseconds(400), {45, 60});
    this->list(Milliseconds(500), {95, 99});
    CHECK_FALSE(this->monitor.isStalled());
    CHECK(this->monitor.runsWorthMoving(this->stop).empty());
}

// Guards against runs that are stopped and restarted because of a wrong estimate: work that took
// five times as long as its caller had estimated was mistaken for work on a slow target.
TEST_CASE_METHOD(MonitorFixture, "runs that take longer than estimated are not stalled",
                 "[progress]")
{
    this->list(Milliseconds(0), {0, 0});
    this->list(Milliseconds(1000), {20, 20});
    this->list(Milliseconds(1000), {40, 40});
    CHECK_FALSE(this->monitor.isStalled());
}

// Guards against a target that answers, sends heartbeats and lists its runs but makes no progress.
// Short work on it was 3 to 7 s late, and it was given new work because it had room.
TEST_CASE_METHOD(MonitorFixture, "runs that make no progress are worth moving", "[progress]")
{
    this->list(Milliseconds(0), {30, 0});
    this->list(Milliseconds(400), {30, 0});
    CHECK_FALSE(this->monitor.isStalled()); // not observed for long enough yet
    this->list(Milliseconds(600), {30, 0});
    CHECK(this->monitor.isStalled());
    CHECK(this->monitor.runsWorthMoving(this->stop).size() == 2);
    this->list(Milliseconds(1000), {99, 99});
    CHECK_FALSE(this->monitor.isStalled());
}

// A target becomes six times slower while it runs its work.
TEST_CASE_METHOD(MonitorFixture, "runs that slow down sharply are worth moving", "[progress]")
{
    this->list(Milliseconds(0), {0, 0});
    this->list(Milliseconds(400), {25, 30});
    this->list(Milliseconds(500), {56, 60});
    CHECK_FALSE(this->monitor.isStalled());
    this->list(Milliseconds(900), {60, 64});
    CHECK(this->monitor.isStalled());
    CHECK(this->monitor.runsWorthMoving(this->stop).size() == 2);
}

// A single slow run may have reached a slow part of its work.
TEST_CASE_METHOD(MonitorFixture, "a target is judged by all its runs", "[progress]")
{
    this->list(Milliseconds(0), {0, 0});
    this->list(Milliseconds(400), {10, 10});
    this->list(Milliseconds(500), {22, 22});
    this->list(Milliseconds(900), {23, 44});
    CHECK_FALSE(this->monitor.isStalled());
}

// Restarted from the beginning, a long task would finish later than after the expected end of the
// stall.
TEST_CASE_METHOD(MonitorFixture, "a long run without a checkpoint stays on a stalled target",
                 "[progress]")
{
    this->list(Milliseconds(0), {50}, 6000);
    this->list(Milliseconds(1000), {50}, 6000);
    CHECK(this->monitor.isStalled());
    CHECK(this->monitor.runsWorthMoving(this->stop).empty());
}

// Members of a gang wait for each other, so one stalled target delays runs on all the others.
TEST_CASE_METHOD(MonitorFixture, "a target is not judged by gang members", "[progress]")
{
    this->list(Milliseconds(0), {10, 10}, 1000, false);
    this->list(Milliseconds(1500), {10, 10}, 1000, false);
    CHECK_FALSE(this->monitor.isStalled());
}
