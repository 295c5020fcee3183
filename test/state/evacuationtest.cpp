#include "statefixture.h"

using namespace guavavalve;

TEST_CASE("no task is placed in an evacuated failure domain, even if accepted before", "[state]")
{
    StateFixture fixture;
    const TaskId task = fixture.accept(fixture.job("order-1"));
    REQUIRE(fixture.state.apply(SetDomainEvacuated{"regina", true}).has_value());
    CHECK(codeOf(fixture.place(task, 1)) == ErrorCode::Conflict);
    REQUIRE(fixture.state.apply(SetDomainEvacuated{"regina", false}).has_value());
    CHECK(fixture.place(task, 1).has_value());
}

TEST_CASE("an evacuation applies to targets that register later and survives a restore", "[state]")
{
    StateFixture fixture;
    REQUIRE(fixture.state.apply(SetDomainEvacuated{"regina", true}).has_value());
    REQUIRE(fixture.registerTarget("t2", 1).has_value());
    CHECK_FALSE(fixture.state.targetNamed("t2")->takesWork());
    ClusterState later(fixture.state.shard());
    REQUIRE(later.restore(fixture.state.snapshot()).has_value());
    CHECK_FALSE(later.targetNamed("t1")->takesWork());
    CHECK(later.evacuatedDomains() == std::set<std::string>{"regina"});
    CHECK(later.snapshot() == fixture.state.snapshot());
}

TEST_CASE("an unknown failure domain is not evacuated", "[state]")
{
    StateFixture fixture;
    const std::string before = fixture.state.snapshot();
    CHECK(codeOf(fixture.state.apply(SetDomainEvacuated{"nowhere", true})) == ErrorCode::NotFound);
    CHECK(codeOf(fixture.state.apply(SetDomainEvacuated{"", false})) == ErrorCode::NotFound);
    CHECK(fixture.state.snapshot() == before);
}
