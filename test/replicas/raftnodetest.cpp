#include <catch2/catch.hpp>

#include "testgroup.h"

#include <string>

using namespace guavavalve;

namespace {

void startThree(TestGroup &group)
{
    for (const char *name : {"a", "b", "c"})
        REQUIRE(group.start(name));
    const auto formed = group.form("a", {"a", "b", "c"});
    INFO((formed ? "" : formed.error().message));
    REQUIRE(formed);
}

} // namespace

TEST_CASE("three replicas form a group once and commit commands in the same order", "[raftnode]")
{
    TestGroup group;
    for (const char *name : {"a", "b", "c"})
        REQUIRE(group.start(name));
    CHECK_FALSE(group.at("a").node->status().formed);
    REQUIRE(group.form("a", {"a", "b", "c"}));
    const auto again = group.form("b", {"a", "b", "c"});
    REQUIRE(again.has_error());
    CHECK(again.error().code == ErrorCode::Conflict);

    for (int i = 0; i < 20; ++i) {
        const auto outcome = group.propose(std::to_string(i));
        REQUIRE(outcome);
        CHECK(outcome.value() == "did " + std::to_string(i));
    }
    REQUIRE(group.haveAllApplied(20));
    CHECK(group.at("a").machine.commands() == group.at("b").machine.commands());
    CHECK(group.at("a").machine.commands() == group.at("c").machine.commands());
}

// All processes of the cluster stop at the same time, as when a site loses power. Every
// acknowledged command must be present on every replica after the restart.
TEST_CASE("no acknowledged command is lost when all replicas restart at the same time",
          "[raftnode]")
{
    TestGroup group;
    startThree(group);
    for (int i = 0; i < 20; ++i)
        REQUIRE(group.propose(std::to_string(i)));
    group.instances.clear();
    for (const char *name : {"a", "b", "c"})
        REQUIRE(group.start(name));
    REQUIRE(group.waitForLeader() != nullptr);
    REQUIRE(group.propose("after"));
    REQUIRE(group.haveAllApplied(21));
    CHECK(group.at("b").machine.commands().back() == "after");
}

// The leader's instance fails. The others must elect another leader within a few election timeouts
// and continue without losing acknowledged commands.
TEST_CASE("another replica becomes leader when the leader fails", "[raftnode]")
{
    TestGroup group;
    startThree(group);
    REQUIRE(group.propose("one"));
    const std::string first = group.waitForLeader()->name;
    group.stop(first);
    REQUIRE(group.propose("two"));
    CHECK(group.waitForLeader()->name != first);
    REQUIRE(group.start(first));
    REQUIRE(group.haveAllApplied(2));
}
