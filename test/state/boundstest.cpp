#include "statefixture.h"

#include "state/configurationview.h"

using namespace guavavalve;

TEST_CASE("the request log is bounded and evicts the oldest results", "[state]")
{
    RequestLog log;
    for (std::size_t i = 0; i < RequestLog::capacity + 10; ++i) {
        RequestLog::Entry entry;
        entry.digest = i;
        log.add(std::to_string(i), entry);
    }
    CHECK(log.size() == RequestLog::capacity);
    CHECK(log.find("9") == nullptr);
    REQUIRE(log.find("10") != nullptr);
    CHECK(log.find("10")->digest == 10);
}

// An entry instance is offline while more keys are withdrawn than the state keeps records of. If it
// were sent only the remaining changes, a key whose record has been evicted would stay valid
// there.
TEST_CASE("an entry that missed an evicted withdrawal receives the full configuration", "[state]")
{
    StateFixture fixture;
    REQUIRE(fixture.grant("old", "mill", KeyRole::Team).has_value());
    ConfigurationView view;
    REQUIRE(view.applyChanges(fixture.state.configuration().changesSince(0)).has_value());
    REQUIRE(view.key("old") != nullptr);
    REQUIRE(fixture.withdraw("old").has_value());
    for (std::size_t i = 0; i < Configuration::maxWithdrawnKeys; ++i) {
        const std::string key = "key-" + std::to_string(i);
        REQUIRE(fixture.grant(key, "mill", KeyRole::Team).has_value());
        REQUIRE(fixture.withdraw(key).has_value());
    }
    const Configuration &configuration = fixture.state.configuration();
    CHECK(configuration.key("old") == nullptr);
    const ConfigurationChanges changes = configuration.changesSince(view.version());
    CHECK(changes.isFull);
    REQUIRE(view.applyChanges(changes).has_value());
    CHECK(view.key("old") == nullptr);
    CHECK(view.key("mill-key") != nullptr);
    CHECK_FALSE(configuration.changesSince(view.version() - 1).isFull);
}

TEST_CASE("a section's history is bounded in bytes and keeps the version in force", "[state]")
{
    StateFixture fixture;
    const std::string padding(60000, ' ');
    for (std::uint64_t base = 1; base <= 5; ++base)
        REQUIRE(fixture.write("team.mill", base, "{" + padding + "}").has_value());
    const Section &section = *fixture.state.configuration().section("team.mill");
    CHECK(section.history.size() == 2);
    CHECK(section.current().version == 6);
    CHECK(codeOf(fixture.write("team.mill", 6, "{" + padding + padding + "}"))
          == ErrorCode::InvalidArgument);
}

// A client repeatedly sends invalid sections. Each rejection is stored in case the request is
// resent, so without bounds the error messages would fill the memory.
TEST_CASE("the stored result of a rejected request is bounded", "[state]")
{
    StateFixture fixture;
    std::string content = "{";
    for (int i = 0; i < 3000; ++i)
        content += (i == 0 ? "\"n" : ",\"n") + std::to_string(i) + "\": 1";
    const auto faults = fixture.write("team.mill", 1, content + "}");
    CHECK(codeOf(faults) == ErrorCode::InvalidArgument);
    CHECK(faults.error().message.size() < 5000);
    const std::string longName(20000, 'x');
    const auto names = fixture.write("team.mill", 1, "{\"" + longName + "\": 1}");
    CHECK(names.error().message.size() < 1000);

    const std::size_t before = fixture.state.snapshot().size();
    CHECK(codeOf(fixture.write("team." + longName, 0, "{}")) == ErrorCode::InvalidArgument);
    CHECK(codeOf(fixture.withdraw(longName)) == ErrorCode::InvalidArgument);
    CHECK(fixture.state.snapshot().size() == before);
}
