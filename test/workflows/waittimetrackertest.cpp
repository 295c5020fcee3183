#include <catch2/catch.hpp>

#include "workflows/planfixture.h"
#include "workflows/planning/waittimetracker.h"

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

const Instant start{std::chrono::seconds(100)};
const StepAddress step{StoreFixture::job, 0, 0};

Microseconds waitedFor(const WaitTimes &times, WaitCause cause)
{
    return times[static_cast<std::size_t>(cause)];
}

} // namespace

TEST_CASE("a step's waits add up by cause from plan to plan", "[waits]")
{
    WaitTimeTracker tracker;
    tracker.planned({{step, WaitCause::Admission}}, start);
    tracker.planned({{step, WaitCause::Room}}, start + Milliseconds(400));
    const WaitTimes times = tracker.times(step, start + Milliseconds(1000));
    CHECK(waitedFor(times, WaitCause::Admission) == Milliseconds(400));
    CHECK(waitedFor(times, WaitCause::Room) == Milliseconds(600));
    CHECK(describe(times) == "admission:400,room:600");
    tracker.planned({}, start + Milliseconds(1000));
    CHECK(describe(tracker.times(step, start + Milliseconds(2000))) == "admission:400,room:600");
}

TEST_CASE("steps that have stopped waiting are dropped after a while", "[waits]")
{
    WaitTimeTracker tracker;
    tracker.planned({{step, WaitCause::Room}}, start);
    tracker.planned({}, start + Milliseconds(100));
    tracker.dropOld(start + Milliseconds(1000));
    CHECK(describe(tracker.times(step, start + Milliseconds(1000))) == "room:100");
    tracker.dropOld(start + Milliseconds(60000));
    CHECK(describe(tracker.times(step, start + Milliseconds(60000))).empty());
}

TEST_CASE("a plan states why a step is left waiting", "[waits]")
{
    PlanFixture f(1);
    f.accept({StoreFixture::step(5)});
    REQUIRE(f.plan().waiting.size() == 1);
    CHECK(f.plan().waiting.front().cause == WaitCause::Room);
    f.policy.accounts["a"].limit[ResourceKind::MilliCores] = 4000;
    CHECK(f.plan().waiting.front().cause == WaitCause::Limit);
}

TEST_CASE("a plan distinguishes a pending query from one that no instance could send", "[waits]")
{
    PlanFixture f(1);
    f.needAdmission();
    f.accept({StoreFixture::step(1)});
    CHECK(f.plan().waiting.front().cause == WaitCause::Admission); // the query is sent now
    f.admissions[f.at(0)].nextQueryAt = f.now + Milliseconds(100);
    CHECK(f.plan().waiting.front().cause == WaitCause::Querier);
    f.admit(1, Milliseconds(1000));
    CHECK(f.plan().waiting.empty());
}
