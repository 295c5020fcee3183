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

// The reply to a grant is lost and the tool resends the request. Granting a second key would leave
// one valid forever that nobody uses, and refusing would leave the operator without a key. The
// resent request must return the same key and token.
TEST_CASE("a resent grant returns the same token and grants no second key")
{
    OperatorFixture fixture;
    const GrantKeyRequest request{"", true, "first", "r-1"};
    const auto first = fixture.ask(OperatorFixture::clusterSecretIdentity(), request);
    const auto again = fixture.ask(OperatorFixture::clusterSecretIdentity(), request);
    REQUIRE(first);
    REQUIRE(again);
    CHECK(again.value().token == first.value().token);
    const auto keys = fixture.ask(OperatorFixture::clusterSecretIdentity(), ListKeysRequest());
    REQUIRE(keys);
    CHECK(keys.value().keys.size() == 1);
    const auto other =
        fixture.ask(OperatorFixture::clusterSecretIdentity(), GrantKeyRequest{"", true, "", "r-2"});
    REQUIRE(other);
    CHECK(other.value().token != first.value().token);
}

// Two operators read version 1 of a section and both write version 2. Without compare-and-set the
// later write would silently overwrite the earlier one. The second write must fail with Conflict.
TEST_CASE(
    "Of two operators who replace the same version, one succeeds and the other gets a conflict")
{
    OperatorFixture fixture;
    const OperatorIdentity one = fixture.makeOperator();
    REQUIRE(fixture.ask(one, writeOf("team.mill", 0, "w-0")));
    REQUIRE(fixture.ask(one, writeOf("team.mill", 1, "w-1")));
    const auto conflicting = fixture.ask(one, WriteSectionRequest{{"team.mill", "{}"}, 1, "w-2"});
    REQUIRE_FALSE(conflicting);
    CHECK(conflicting.error().code == ErrorCode::Conflict);
    CHECK(conflicting.error().ran == Ran::No);
    const auto resent = fixture.ask(one, writeOf("team.mill", 1, "w-1"));
    REQUIRE(resent);
    CHECK(resent.value().version == 2);
    const auto history = fixture.ask(one, SectionHistoryRequest{"team.mill"});
    REQUIRE(history);
    CHECK(history.value().versions.size() == 2);
}

TEST_CASE("a team may write its own section but neither another team's nor an operators' section")
{
    OperatorFixture fixture;
    const OperatorIdentity operatorIdentity = fixture.makeOperator();
    REQUIRE(fixture.ask(operatorIdentity, writeOf("team.mill", 0, "w-0")));
    REQUIRE(fixture.ask(operatorIdentity, writeOf("team.tours", 0, "w-1")));
    const auto key = fixture.ask(operatorIdentity, GrantKeyRequest{"mill", false, "", "k-1"});
    REQUIRE(key);
    const OperatorIdentity mill{key.value().keyId, "mill", false};
    CHECK(fixture.ask(mill, writeOf("team.mill", 1, "w-2")));
    for (const auto &refused : {fixture.ask(mill, writeOf("team.tours", 1, "w-3")),
                                fixture.ask(mill, writeOf("cell", 0, "w-4"))}) {
        REQUIRE_FALSE(refused);
        CHECK(refused.error().code == ErrorCode::PermissionDenied);
    }
    const auto grant = fixture.ask(mill, GrantKeyRequest{"mill", true, "", "k-2"});
    REQUIRE_FALSE(grant);
    CHECK(grant.error().code == ErrorCode::PermissionDenied);
}

// A key has been withdrawn, but an entry does not know this yet and forwards a request with it as
// that of a valid operator. The controller must check the key's record itself and refuse.
TEST_CASE("the controller refuses a withdrawn key even if the entry accepted it")
{
    OperatorFixture fixture;
    const OperatorIdentity operatorIdentity = fixture.makeOperator();
    fixture.grantSpareOperator();
    REQUIRE(fixture.ask(OperatorFixture::clusterSecretIdentity(),
                        WithdrawKeyRequest{operatorIdentity.keyId, "x-1"}));
    const auto refused = fixture.ask(operatorIdentity, ListTeamsRequest());
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::Unauthenticated);
}

// A controller is partitioned from the other replicas, which elect a new one. It must not answer
// an operator's request, because its state is stale.
TEST_CASE("a controller without its lease refuses operator requests")
{
    OperatorFixture fixture;
    const OperatorIdentity operatorIdentity = fixture.makeOperator();
    fixture.log.setLeading(false);
    const auto refused = fixture.ask(operatorIdentity, ListKeysRequest());
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::NotLeader);
}

TEST_CASE("checking drafts reports every problem and changes nothing")
{
    OperatorFixture fixture;
    const OperatorIdentity operatorIdentity = fixture.makeOperator();
    const auto before = fixture.ask(operatorIdentity, ShowConfigurationRequest());
    const auto check = fixture.ask(
        operatorIdentity,
        CheckConfigurationRequest{{{"team.mill", teamContent}, {"cell", R"({"nonsense":1})"}}});
    REQUIRE(check);
    CHECK(check.value().problems.size() == 1);
    CHECK(check.value().problems.front().path == "cell");
    CHECK_FALSE(check.value().differences.empty());
    const auto after = fixture.ask(operatorIdentity, ShowConfigurationRequest());
    REQUIRE(after);
    CHECK(after.value().version == before.value().version);
    CHECK(after.value().sections.empty());
}

TEST_CASE("a configuration is in force everywhere if the instances without it hold no lease")
{
    OperatorFixture fixture;
    const OperatorIdentity operatorIdentity = fixture.makeOperator();
    fixture.instances = {{"e1", 1, true}, {"e2", 0, true}};
    CHECK_FALSE(fixture.ask(operatorIdentity, ConfigurationInForceRequest()).value().everywhere);
    fixture.instances[1].leased = false;
    CHECK(fixture.ask(operatorIdentity, ConfigurationInForceRequest()).value().everywhere);
}

TEST_CASE("a drained target is listed as draining")
{
    OperatorFixture fixture;
    const OperatorIdentity operatorIdentity = fixture.makeOperator();
    RegisterTarget command;
    command.name = "press-1";
    command.incarnation = 1;
    command.address = "127.0.0.1:9";
    command.failureDomain = "regina";
    command.rack = "r1";
    command.total[ResourceKind::Slots] = 8;
    fixture.apply(command);
    REQUIRE(fixture.ask(operatorIdentity, DrainTargetRequest{"press-1", true, ""}));
    const auto list = fixture.ask(operatorIdentity, ListTargetsRequest());
    REQUIRE(list);
    REQUIRE(list.value().targets.size() == 1);
    CHECK(list.value().targets.front().state == "draining");
    const auto unknown = fixture.ask(operatorIdentity, DrainTargetRequest{"press-2", true, ""});
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == ErrorCode::NotFound);
}

TEST_CASE("evacuating a failure domain closes its targets, including those that register later")
{
    OperatorFixture fixture;
    const OperatorIdentity operatorIdentity = fixture.makeOperator();
    RegisterTarget command;
    command.name = "press-1";
    command.incarnation = 1;
    command.address = "127.0.0.1:9";
    command.failureDomain = "regina";
    command.total[ResourceKind::Slots] = 8;
    fixture.apply(command);
    const auto unknown = fixture.ask(operatorIdentity, EvacuateDomainRequest{"nowhere", true});
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == ErrorCode::NotFound);
    const auto evacuated = fixture.ask(operatorIdentity, EvacuateDomainRequest{"regina", true});
    REQUIRE(evacuated);
    CHECK(evacuated.value().evacuated);
    CHECK(evacuated.value().targets == 1);
    CHECK(fixture.ask(operatorIdentity,
                      EvacuateDomainRequest{"regina", true})); // a repeated request succeeds
    command.name = "press-2";
    fixture.apply(command);
    const TargetList closed = fixture.ask(operatorIdentity, ListTargetsRequest()).value();
    for (const TargetSummary &target : closed.targets)
        CHECK(target.state == "evacuated");
    const OperatorIdentity stranger{"key-1", "mill", false};
    CHECK_FALSE(fixture.ask(stranger, EvacuateDomainRequest{"regina", false}));
    REQUIRE(fixture.ask(operatorIdentity, EvacuateDomainRequest{"regina", false}));
    const TargetList open = fixture.ask(operatorIdentity, ListTargetsRequest()).value();
    for (const TargetSummary &target : open.targets)
        CHECK(target.state == "ready");
    CHECK_FALSE(
        fixture.ask(operatorIdentity, ListDomainsRequest()).value().domains.front().evacuated);
}
