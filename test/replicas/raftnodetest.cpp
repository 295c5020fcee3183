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

TEST_CASE("three replicas form once and commit commands in one order", "[raftnode]")
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
    REQUIRE(group.allHave(20));
    CHECK(group.at("a").machine.commands() == group.at("b").machine.commands());
    CHECK(group.at("a").machine.commands() == group.at("c").machine.commands());
}

// Operators see all processes of the cluster go at once, as when a site loses its power. Every
// acknowledged command must be there when they are back, on every replica.
TEST_CASE("nothing acknowledged is lost when all replicas restart at once", "[raftnode]")
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
    REQUIRE(group.allHave(21));
    CHECK(group.at("b").machine.commands().back() == "after");
}

// The instance whose replica leads fails. The others elect another within a few election
// timeouts and go on; what was acknowledged stays.
TEST_CASE("another replica leads when the leader is gone", "[raftnode]")
{
    TestGroup group;
    startThree(group);
    REQUIRE(group.propose("one"));
    const std::string first = group.waitForLeader()->name;
    group.stop(first);
    REQUIRE(group.propose("two"));
    CHECK(group.waitForLeader()->name != first);
    REQUIRE(group.start(first));
    REQUIRE(group.allHave(2));
}
