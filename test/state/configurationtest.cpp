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

// Two operators read version 1 of a section and both write over it. The second must not undo the
// first one's change unseen: it is told who won and what differs.
TEST_CASE("of two operators with the same number one wins and the other is told who", "[state]")
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

// The answer to an operator's write is lost and the tool sends it again. Without the kept result
// the operator would be told that somebody else had won, when it was itself.
TEST_CASE("a resent operator request returns the first result and does nothing twice", "[state]")
{
    StateFixture fixture;
    WriteSection write = fixture.sectionWrite("team.mill", 1, R"({"share": 7})");
    const auto first = changedBy(fixture.state.apply(write));
    write.writtenAt = 99; // proposed again, later
    const auto again = changedBy(fixture.state.apply(write));
    CHECK(again.sectionVersion == first.sectionVersion);
    CHECK(fixture.state.configuration().section("team.mill")->current().version == 2);
    write.content = R"({"share": 8})";
    const auto other = fixture.state.apply(write);
    CHECK(codeOf(other) == ErrorCode::Conflict);
    CHECK(contains(other.error().message, "write of section \"team.mill\" with key \"root\""));
    // A copy restored from a snapshot remembers it too.
    ClusterState copy(3);
    REQUIRE(copy.restore(fixture.state.snapshot()).has_value());
    write.content = R"({"share": 7})";
    CHECK(changedBy(copy.apply(write)).sectionVersion == first.sectionVersion);
}

TEST_CASE("a team writes its own section but for share and limit", "[state]")
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

TEST_CASE("a write is checked against the whole document and all problems are told", "[state]")
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

    // The cell may not be put at odds with a team's section, nor a team's with the cell.
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

TEST_CASE("a preview tells what would change and changes nothing", "[state]")
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

TEST_CASE("keys are granted for a team that exists and the last operator key stays", "[state]")
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

// An entry asks a lagging replica, or an old answer arrives late. If it took the older copy, a
// withdrawn key would work again.
TEST_CASE("an entry's configuration gets only what differs and never goes back", "[state]")
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

// A replica restarts after 500 changes and takes a snapshot. Nothing it says may be older than
// what was in force.
TEST_CASE("the document's version outlives a snapshot and its history is bounded", "[state]")
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

// An entry was away while a share moved from one team to another under a fixed total. Read one
// after the other, the sections would seem to pass the total in between, and the entry would
// refuse a good configuration for ever.
TEST_CASE("an entry takes over several changes that only hold together", "[state]")
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

// An operator lowers the targets' lease and the controller dies. Its successor must still wait
// for the old lease: a target that was given it runs its tasks until then, and they would run
// twice.
TEST_CASE("a lowered lease is still counted by a new controller", "[state]")
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
