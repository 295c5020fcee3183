#include <catch2/catch.hpp>

#include "replicas/presencetable.h"

#include <string>

using namespace guavavalve;

// Guards against a table that grows with every instance that ever reported.
TEST_CASE("the presence table drops instances that have been silent for long", "[presence]")
{
    Instant now{std::chrono::seconds(100)};
    PresenceTable table([&now] { return now; });
    constexpr int instances = 4096; // the most that the table holds
    for (int i = 0; i < instances; ++i)
        table.record({"old" + std::to_string(i), "a", false});
    table.record({"one-too-many", "a", false});
    CHECK(table.present(Milliseconds(1000)).size() == instances);
    now += std::chrono::seconds(61);
    table.record({"new", "a", false});
    REQUIRE(table.present(Milliseconds(120000)).size() == 1);
    CHECK(table.present(Milliseconds(1000)).front().instance == "new");
}
