#include "operators/operatorfixture.h"

using namespace guavavalve;

namespace {

constexpr const char *teamContent = R"({"description":"mill orders"})";

WriteSectionRequest writeOf(const std::string &section, std::uint64_t base,
                            const std::string &requestId)
{
    return {{section, teamContent}, base, requestId};
}

} // namespace

// An operator grants a key and the answer is lost on the way; the tool sends the request again.
// A second key that nobody holds would stay valid for ever, and a refusal would leave the
// operator without the first. The resend gives the same key and the same token.
TEST_CASE("A resent grant gives the same token and grants no second key")
{
    OperatorFixture bench;
    const GrantKeyRequest request{"", true, "first", "r-1"};
    const auto first = bench.ask(OperatorFixture::clusterHolder(), request);
    const auto again = bench.ask(OperatorFixture::clusterHolder(), request);
    REQUIRE(first);
    REQUIRE(again);
    CHECK(again.value().token == first.value().token);
    const auto keys = bench.ask(OperatorFixture::clusterHolder(), ListKeysRequest());
    REQUIRE(keys);
    CHECK(keys.value().keys.size() == 1);
    const auto other =
        bench.ask(OperatorFixture::clusterHolder(), GrantKeyRequest{"", true, "", "r-2"});
    REQUIRE(other);
    CHECK(other.value().token != first.value().token);
}

// Two operators read version 1 of a section and both write version 2. Without compare and set
// the later one silently undoes the other's change. One of them wins and the other is told.
TEST_CASE("Of two operators who replace the same version one wins and the other is told")
{
    OperatorFixture bench;
    const OperatorIdentity one = bench.makeOperator();
    REQUIRE(bench.ask(one, writeOf("team.mill", 0, "w-0")));
    REQUIRE(bench.ask(one, writeOf("team.mill", 1, "w-1")));
    const auto loser = bench.ask(one, WriteSectionRequest{{"team.mill", "{}"}, 1, "w-2"});
    REQUIRE_FALSE(loser);
    CHECK(loser.error().code == ErrorCode::Conflict);
    CHECK(loser.error().ran == Ran::No);
    const auto resent = bench.ask(one, writeOf("team.mill", 1, "w-1"));
    REQUIRE(resent);
    CHECK(resent.value().version == 2);
    const auto history = bench.ask(one, SectionHistoryRequest{"team.mill"});
    REQUIRE(history);
    CHECK(history.value().versions.size() == 2);
}

TEST_CASE("A team writes its own section and neither another nor what is the operators'")
{
    OperatorFixture bench;
    const OperatorIdentity boss = bench.makeOperator();
    REQUIRE(bench.ask(boss, writeOf("team.mill", 0, "w-0")));
    REQUIRE(bench.ask(boss, writeOf("team.tours", 0, "w-1")));
    const auto key = bench.ask(boss, GrantKeyRequest{"mill", false, "", "k-1"});
    REQUIRE(key);
    const OperatorIdentity mill{key.value().keyId, "mill", false};
    CHECK(bench.ask(mill, writeOf("team.mill", 1, "w-2")));
    for (const auto &refused : {bench.ask(mill, writeOf("team.tours", 1, "w-3")),
                                bench.ask(mill, writeOf("cell", 0, "w-4"))}) {
        REQUIRE_FALSE(refused);
        CHECK(refused.error().code == ErrorCode::PermissionDenied);
    }
    const auto grant = bench.ask(mill, GrantKeyRequest{"mill", true, "", "k-2"});
    REQUIRE_FALSE(grant);
    CHECK(grant.error().code == ErrorCode::PermissionDenied);
}

// A key is withdrawn while an entry has not heard of it yet. The entry passes the holder's
// question on as that of a valid operator. The controller looks at the key's record and refuses.
TEST_CASE("A withdrawn key is refused at the controller whatever the entry says of it")
{
    OperatorFixture bench;
    const OperatorIdentity boss = bench.makeOperator();
    bench.grantSpareOperator();
    REQUIRE(bench.ask(OperatorFixture::clusterHolder(), WithdrawKeyRequest{boss.keyId, "x-1"}));
    const auto refused = bench.ask(boss, ListTeamsRequest());
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::Unauthenticated);
}

// A controller is cut off from the others, and they elect another. An operator's question that
// reaches the old one would be answered from a state that has moved on without it.
TEST_CASE("A controller without its lease answers no operator")
{
    OperatorFixture bench;
    const OperatorIdentity boss = bench.makeOperator();
    bench.log.setLeading(false);
    const auto refused = bench.ask(boss, ListKeysRequest());
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::NotLeader);
}

TEST_CASE("A check of drafts reports every problem and changes nothing")
{
    OperatorFixture bench;
    const OperatorIdentity boss = bench.makeOperator();
    const auto before = bench.ask(boss, ShowConfigurationRequest());
    const auto check = bench.ask(
        boss,
        CheckConfigurationRequest{{{"team.mill", teamContent}, {"cell", R"({"nonsense":1})"}}});
    REQUIRE(check);
    CHECK(check.value().problems.size() == 1);
    CHECK(check.value().problems.front().path == "cell");
    CHECK_FALSE(check.value().differences.empty());
    const auto after = bench.ask(boss, ShowConfigurationRequest());
    REQUIRE(after);
    CHECK(after.value().version == before.value().version);
    CHECK(after.value().sections.empty());
}

TEST_CASE("A configuration is in force everywhere when the rest accept no work")
{
    OperatorFixture bench;
    const OperatorIdentity boss = bench.makeOperator();
    bench.instances = {{"e1", 1, true}, {"e2", 0, true}};
    CHECK_FALSE(bench.ask(boss, ConfigurationInForceRequest()).value().everywhere);
    bench.instances[1].leased = false;
    CHECK(bench.ask(boss, ConfigurationInForceRequest()).value().everywhere);
}

TEST_CASE("A drained target takes no work and is shown as draining")
{
    OperatorFixture bench;
    const OperatorIdentity boss = bench.makeOperator();
    RegisterTarget command;
    command.name = "press-1";
    command.incarnation = 1;
    command.address = "127.0.0.1:9";
    command.failureDomain = "regina";
    command.rack = "r1";
    command.total[ResourceKind::Slots] = 8;
    bench.apply(command);
    REQUIRE(bench.ask(boss, DrainTargetRequest{"press-1", true, ""}));
    const auto list = bench.ask(boss, ListTargetsRequest());
    REQUIRE(list);
    REQUIRE(list.value().targets.size() == 1);
    CHECK(list.value().targets.front().state == "draining");
    const auto unknown = bench.ask(boss, DrainTargetRequest{"press-2", true, ""});
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == ErrorCode::NotFound);
}

TEST_CASE("An evacuated failure domain closes its targets, those that come later too")
{
    OperatorFixture bench;
    const OperatorIdentity boss = bench.makeOperator();
    RegisterTarget command;
    command.name = "press-1";
    command.incarnation = 1;
    command.address = "127.0.0.1:9";
    command.failureDomain = "regina";
    command.total[ResourceKind::Slots] = 8;
    bench.apply(command);
    const auto unknown = bench.ask(boss, EvacuateDomainRequest{"nowhere", true});
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == ErrorCode::NotFound);
    const auto evacuated = bench.ask(boss, EvacuateDomainRequest{"regina", true});
    REQUIRE(evacuated);
    CHECK(evacuated.value().evacuated);
    CHECK(evacuated.value().targets == 1);
    CHECK(bench.ask(boss, EvacuateDomainRequest{"regina", true})); // a repetition
    command.name = "press-2";
    bench.apply(command);
    const TargetList closed = bench.ask(boss, ListTargetsRequest()).value();
    for (const TargetSummary &target : closed.targets)
        CHECK(target.state == "evacuated");
    const OperatorIdentity stranger{"key-1", "mill", false};
    CHECK_FALSE(bench.ask(stranger, EvacuateDomainRequest{"regina", false}));
    REQUIRE(bench.ask(boss, EvacuateDomainRequest{"regina", false}));
    const TargetList open = bench.ask(boss, ListTargetsRequest()).value();
    for (const TargetSummary &target : open.targets)
        CHECK(target.state == "ready");
    CHECK_FALSE(bench.ask(boss, ListDomainsRequest()).value().domains.front().evacuated);
}
