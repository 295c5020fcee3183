#include <catch2/catch.hpp>

#include "decisions/firstfitscheduler.h"

using namespace guavavalve;

namespace {

constexpr Instant start{Microseconds(1000000)};

TaskRequest task(std::uint64_t id, std::int64_t milliCores)
{
    TaskRequest request;
    request.id = TaskId(id);
    request.job = JobId(id);
    request.team = TeamId(1);
    request.need = Resources{{milliCores, 100, 0, 1, 1}};
    return request;
}

void prepare(FirstFitScheduler &scheduler, std::int64_t limitMilliCores)
{
    Policy policy;
    TeamPolicy team;
    team.team = TeamId(1);
    team.limit[ResourceKind::MilliCores] = limitMilliCores;
    policy.teams.push_back(team);
    scheduler.applyPolicy(policy, start);
    TargetInfo target;
    target.id = TargetId(1);
    target.total = Resources{{4000, 8000, 0, 8, 64}};
    scheduler.targetChanged(target, start);
}

} // namespace

TEST_CASE("first fit respects limits and reuses the resources of ended tasks", "[firstfit]")
{
    FirstFitScheduler scheduler;
    prepare(scheduler, 3000);
    REQUIRE(scheduler.submit(task(1, 2000), start).has_value());
    REQUIRE(scheduler.submit(task(2, 2000), start).has_value());
    std::vector<Decision> decisions;
    scheduler.decide(start, decisions);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().task == TaskId(1));
    CHECK(scheduler.explain(TaskId(2)).reason == Reason::TeamLimit);
    scheduler.taskEnded(TaskId(1), AttemptOutcome::Succeeded, start);
    scheduler.decide(start, decisions);
    REQUIRE(decisions.size() == 2);
    CHECK(decisions.back().task == TaskId(2));
}

TEST_CASE("first fit places all tasks of a gang at once or none", "[firstfit]")
{
    FirstFitScheduler scheduler;
    prepare(scheduler, unlimitedAmount);
    std::vector<Decision> decisions;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        TaskRequest member = task(id, 1500);
        member.job = JobId(1);
        member.jobTasks = 3;
        member.workClass = WorkClass::Gang;
        REQUIRE(scheduler.submit(member, start).has_value());
        scheduler.decide(start, decisions);
        CHECK(decisions.empty());
    }
    TargetInfo second;
    second.id = TargetId(2);
    second.total = Resources{{4000, 8000, 0, 8, 64}};
    scheduler.targetChanged(second, start);
    scheduler.decide(start, decisions);
    CHECK(decisions.size() == 3);
}
