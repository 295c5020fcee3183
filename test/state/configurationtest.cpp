#include "statefixture.h"

#include "core/codec.h"
#include "state/configurationview.h"

using namespace guavavalve;

namespace {

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

ConfigurationChanged changedBy(const CommandOutcome &outcome)
{
    REQUIRE(outcome.has_value());
    return std::get<ConfigurationChanged>(outcome.value());
}

} // namespace

// Two operators read version 1 of a section and both replace it. The second write must not silently
// undo the first: it fails, and its error names the other key and what it changed.
TEST_CASE("of two writes with the same base version the second fails and names the first",
          "[state]")
{
    StateFixture fixture;
    REQUIRE(fixture.grant("root2", "", KeyRole::Operator).has_value());
    const auto first = fixture.write("team.mill", 1, R"({"limit": {"slots": 9}})");
    CHECK(changedBy(first).sectionVersion == 2);
    const auto second = fixture.write("team.mill", 1, R"({"limit": {"slots": 4}})", "root2");
    CHECK(codeOf(second) == ErrorCode::Conflict);
    CHECK(contains(second.error().message, "\"root\""));
    CHECK(contains(second.error().message, "limit.slots: 6 -> 9"));
    CHECK(fixture.state.configuration().team("mill")->limit[ResourceKind::Slots] == 9);
}

// The answer to an operator's write is lost and the tool resends it. Without the recorded result,
// the resend would fail with a version conflict that the first write had caused itself.
TEST_CASE("a resent operator request returns the first result and is not applied twice", "[state]")
{
    StateFixture fixture;
    WriteSection write = fixture.sectionWrite("team.mill", 1, R"({"share": 7})");
    const auto first = changedBy(fixture.state.apply(write));
    write.writtenAt = 99; // the resend is proposed later
    const auto again = changedBy(fixture.state.apply(write));
    CHECK(again.sectionVersion == first.sectionVersion);
    CHECK(fixture.state.configuration().section("team.mill")->current().version == 2);
    write.content = R"({"share": 8})";
    const auto other = fixture.state.apply(write);
    CHECK(codeOf(other) == ErrorCode::Conflict);
    CHECK(contains(other.error().message, "write of section \"team.mill\" with key \"root\""));
    // A replica restored from a snapshot has the recorded result too.
    ClusterState copy(3);
    REQUIRE(copy.restore(fixture.state.snapshot()).has_value());
    write.content = R"({"share": 7})";
    CHECK(changedBy(copy.apply(write)).sectionVersion == first.sectionVersion);
}

TEST_CASE("a team may write its own section except share and limit", "[state]")
{
    StateFixture fixture;
    const std::string same = R"({"share": 100, "limit": {"slots": 6}, "contact": "office"})";
    CHECK(fixture.write("team.mill", 1, same, "mill-key").has_value());
    CHECK(codeOf(
              fixture.write("team.mill", 2, R"({"share": 100, "limit": {"slots": 7}})", "mill-key"))
          == ErrorCode::PermissionDenied);
    CHECK(codeOf(fixture.write("team.mill", 2, R"({"share": 100})", "mill-key"))
          == ErrorCode::PermissionDenied);
    CHECK(codeOf(fixture.write("team.tours", 1, "{}", "mill-key")) == ErrorCode::PermissionDenied);
    CHECK(codeOf(fixture.write("cell", 1, "{}", "mill-key")) == ErrorCode::PermissionDenied);
    CHECK(codeOf(fixture.write("cell", 1, "{}", "nobody")) == ErrorCode::Unauthenticated);
    REQUIRE(fixture.withdraw("mill-key").has_value());
    CHECK(codeOf(fixture.write("team.mill", 2, same, "mill-key")) == ErrorCode::Unauthenticated);
}

TEST_CASE("a write is checked against the whole document and all problems are reported", "[state]")
{
    StateFixture fixture;
    const auto bad = fixture.write(
        "team.mill", 1, R"({"share": 0, "limit": {"slots": "six"}, "colour": 1, "share": 2})");
    CHECK(codeOf(bad) == ErrorCode::InvalidArgument);
    CHECK(contains(bad.error().message, "share: found the name twice"));
    const auto more =
        fixture.write("team.mill", 1, R"({"share": 0, "limit": {"slots": "six"}, "colour": 1})");
    CHECK(contains(more.error().message, "team.mill: share: found 0"));
    CHECK(contains(more.error().message, "team.mill: limit.slots: found \"six\""));
    CHECK(contains(more.error().message, "team.mill: colour: found an unknown name"));

    // Neither a write of the cell's section nor of a team's may make the two inconsistent.
    CHECK(codeOf(fixture.write("cell", 1, R"({"maxTeamLimit": {"slots": 5}})"))
          == ErrorCode::InvalidArgument);
    REQUIRE(fixture.write("cell", 1, R"({"totalShares": 250})").has_value());
    const auto tooMuch = fixture.write("team.tours", 1, R"({"share": 151})");
    CHECK(contains(tooMuch.error().message, "cell: totalShares"));
    REQUIRE(
        fixture.write("cell", 2, R"({"classes": {"service": {"enabled": false}}})").has_value());
    CHECK(codeOf(fixture.write("team.tours", 1, R"({"classes": {"service": {"enabled": true}}})"))
          == ErrorCode::InvalidArgument);
    AcceptJob service = fixture.job("s");
    service.workClass = WorkClass::Service;
    CHECK(codeOf(fixture.state.apply(service)) == ErrorCode::PermissionDenied);
    CHECK(codeOf(fixture.write("elsewhere", 0, "{}")) == ErrorCode::InvalidArgument);
}

TEST_CASE("a preview reports what would change and changes nothing", "[state]")
{
    StateFixture fixture;
    const std::string before = fixture.state.snapshot();
    const auto &document = fixture.state.configuration();
    const auto preview = document.preview(
        fixture.sectionWrite("team.mill", 1, R"({"share": 100, "contact": "office"})"));
    CHECK(preview.problems.empty());
    REQUIRE(preview.changes.size() == 2);
    CHECK(preview.changes[0].path == "contact");
    CHECK(preview.changes[1].path == "limit.slots");
    CHECK(preview.changes[1].before == "6");
    CHECK(preview.changes[1].after.empty());
    CHECK(document.preview(fixture.sectionWrite("team.mill", 1, "{\"share\": -1}")).problems.size()
          == 1);
    CHECK(document.preview(fixture.sectionWrite("team.mill", 7, "{}")).problems.size() == 1);
    CHECK(fixture.state.snapshot() == before);
}

TEST_CASE("keys are granted only for existing teams and the last operator key stays", "[state]")
{
    StateFixture fixture;
    CHECK(codeOf(fixture.grant("k", "nobody", KeyRole::Team)) == ErrorCode::NotFound);
    CHECK(codeOf(fixture.grant("mill-key", "tours", KeyRole::Team)) == ErrorCode::Conflict);
    CHECK(codeOf(fixture.withdraw("root")) == ErrorCode::Conflict);
    CHECK(fixture.grant("root2", "", KeyRole::Operator).has_value());
    CHECK(fixture.withdraw("root").has_value());
    CHECK(fixture.withdraw("root").has_value());
    CHECK(codeOf(fixture.grant("root", "", KeyRole::Operator)) == ErrorCode::Conflict);
}

// An entry instance asks a lagging replica, or receives a delayed answer. If it applied the older
// version, a withdrawn key would become valid again.
TEST_CASE("an entry's configuration receives only changes and never goes backwards", "[state]")
{
    StateFixture fixture;
    ConfigurationView view;
    const ConfigurationChanges all = fixture.state.configuration().changesSince(0);
    REQUIRE(view.applyChanges(all).has_value());
    CHECK(view.key("mill-key") != nullptr);
    CHECK(view.team("mill")->limit[ResourceKind::Slots] == 6);

    REQUIRE(fixture.withdraw("mill-key").has_value());
    const auto changes = fixture.state.configuration().changesSince(view.version());
    CHECK(changes.keys.size() == 1);
    CHECK(changes.sections.empty());
    const auto sent = decode<ConfigurationChanges>(encodeChanges(changes));
    REQUIRE(view.applyChanges(sent.value()).has_value());
    CHECK(view.key("mill-key") == nullptr);

    CHECK(view.applyChanges(all).error().code == ErrorCode::Conflict);
    CHECK(view.key("mill-key") == nullptr);
    REQUIRE(fixture.write("team.mill", 1, R"({"limit": {"slots": 3}})").has_value());
    ConfigurationChanges gap = fixture.state.configuration().changesSince(view.version() + 1);
    gap.toVersion += 5;
    CHECK(view.applyChanges(gap).error().code == ErrorCode::Conflict);
    REQUIRE(
        view.applyChanges(fixture.state.configuration().changesSince(view.version())).has_value());
    CHECK(view.team("mill")->limit[ResourceKind::Slots] == 3);
    CHECK(fixture.state.configuration().changesSince(view.version()).sections.empty());
    CHECK(fixture.state.configuration().changesSince(view.version() + 9).toVersion
          == view.version());
}

// A replica is restored from a snapshot after 500 changes. The versions that it reports must not be
// older than those in force before.
TEST_CASE("the document's version survives a restore and its history is bounded", "[state]")
{
    StateFixture fixture;
    for (std::uint64_t base = 1; base <= 500; ++base)
        REQUIRE(fixture.write("team.mill", base, "{\"share\": " + std::to_string(base) + "}")
                    .has_value());
    ClusterState copy(3);
    REQUIRE(copy.restore(fixture.state.snapshot()).has_value());
    CHECK(copy.configuration().version() == fixture.state.configuration().version());
    const Section &section = *copy.configuration().section("team.mill");
    CHECK(section.current().version == 501);
    CHECK(section.history.size() == Configuration::maxHistory);
    CHECK(copy.configuration().team("mill")->share == 500);
}

// An entry instance is offline while a share moves from one team to another under a fixed total. If
// the sections were validated one by one, the sum could exceed the total in between, and the entry
// would reject a valid configuration on every attempt.
TEST_CASE("an entry accepts changes that are valid only together", "[state]")
{
    StateFixture fixture;
    REQUIRE(fixture.write("cell", 1, R"({"totalShares": 200})").has_value());
    ConfigurationView view;
    REQUIRE(view.applyChanges(fixture.state.configuration().changesSince(0)).has_value());
    REQUIRE(fixture.write("team.tours", 1, R"({"share": 50})").has_value());
    REQUIRE(fixture.write("team.mill", 1, R"({"share": 150})").has_value());
    REQUIRE(
        view.applyChanges(fixture.state.configuration().changesSince(view.version())).has_value());
    CHECK(view.team("mill")->share == 150);
    CHECK(view.team("tours")->share == 50);

    ConfigurationChanges bad;
    bad.fromVersion = view.version();
    bad.toVersion = view.version() + 1;
    bad.sections = {{"team.mill", "mill", 3, R"({"share": 0})"}, {"team.tours", "tours", 3, "{}"}};
    CHECK(view.applyChanges(bad).error().code == ErrorCode::Corrupt);
    CHECK(view.team("mill")->share == 150);
}

// An operator lowers the targets' lease and the controller fails. Its successor must still wait for
// the old, longer lease: a target that holds it runs its tasks until then, and placing them
// elsewhere earlier would run them twice.
TEST_CASE("a replaced longer lease still counts as the longest target lease", "[state]")
{
    StateFixture fixture;
    REQUIRE(fixture.write("cell", 1, R"({"targetLeaseMs": 10000})").has_value());
    REQUIRE(fixture.write("cell", 2, R"({"targetLeaseMs": 500, "driftMarginMs": 50})").has_value());
    ClusterState copy(3);
    REQUIRE(copy.restore(fixture.state.snapshot()).has_value());
    CHECK(copy.configuration().cell().targetLeaseMs == 500);
    CHECK(copy.configuration().longestTargetLeaseMs() == 10300);
    for (std::uint64_t base = 3; base < 3 + Configuration::maxEarlierLeases; ++base)
        REQUIRE(fixture.write("cell", base, R"({"targetLeaseMs": 500, "driftMarginMs": 50})")
                    .has_value());
    CHECK(fixture.state.configuration().longestTargetLeaseMs() == 550);
}
