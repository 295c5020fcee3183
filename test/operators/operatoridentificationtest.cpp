#include "operators/operatorfixture.h"

using namespace guavavalve;

TEST_CASE("A granted token is known and everything near it is refused alike")
{
    OperatorFixture bench;
    const OperatorIdentity boss = bench.makeOperator();
    REQUIRE(bench.identify(bench.operatorToken));
    CHECK(bench.identify(bench.operatorToken).value().isOperator);
    REQUIRE(bench.identify(OperatorFixture::clusterToken()));

    std::string changed = bench.operatorToken;
    changed.back() = changed.back() == '0' ? '1' : '0';
    const auto refusal = bench.identify(changed);
    REQUIRE_FALSE(refusal);
    for (const std::string &token :
         {std::string("key-0:secret"), std::string("cluster-secret:wrong"),
          bench.operatorToken.substr(0, bench.operatorToken.size() - 1)}) {
        const auto refused = bench.identify(token);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().code == ErrorCode::Unauthenticated);
        CHECK(refused.error().message == refusal.error().message);
    }
    bench.grantSpareOperator();
    REQUIRE(bench.ask(boss, WithdrawKeyRequest{boss.keyId, "x-1"}));
    CHECK_FALSE(bench.identify(bench.operatorToken));
}
