#include "operators/operatorfixture.h"

using namespace guavavalve;

TEST_CASE("a granted token is accepted and all invalid tokens are refused with the same message")
{
    OperatorFixture fixture;
    const OperatorIdentity operatorIdentity = fixture.makeOperator();
    REQUIRE(fixture.identify(fixture.operatorToken));
    CHECK(fixture.identify(fixture.operatorToken).value().isOperator);
    REQUIRE(fixture.identify(OperatorFixture::clusterToken()));

    std::string changed = fixture.operatorToken;
    changed.back() = changed.back() == '0' ? '1' : '0';
    const auto refusal = fixture.identify(changed);
    REQUIRE_FALSE(refusal);
    for (const std::string &token :
         {std::string("key-0:secret"), std::string("cluster-secret:wrong"),
          fixture.operatorToken.substr(0, fixture.operatorToken.size() - 1)}) {
        const auto refused = fixture.identify(token);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().code == ErrorCode::Unauthenticated);
        CHECK(refused.error().message == refusal.error().message);
    }
    fixture.grantSpareOperator();
    REQUIRE(fixture.ask(operatorIdentity, WithdrawKeyRequest{operatorIdentity.keyId, "x-1"}));
    CHECK_FALSE(fixture.identify(fixture.operatorToken));
}
