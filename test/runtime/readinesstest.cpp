#include "runtime/readiness.h"

#include <catch2/catch.hpp>

using namespace guavavalve;

TEST_CASE("An instance is not ready before it has started and after shutdown began")
{
    Readiness readiness;
    CHECK(readiness.reasons() == std::vector<NotReadyReason>{NotReadyReason::Starting});
    readiness.started();
    CHECK(readiness.isReady());
    readiness.beginShutdown();
    CHECK(readiness.reasons() == std::vector<NotReadyReason>{NotReadyReason::ShuttingDown});
}

// A frozen instance wakes after its configuration lease has run out and the balancer asks at
// once. An answer remembered from before the freeze would bring it requests that it must refuse.
// The condition is evaluated at each question, so the first answer after the wake is "not ready".
TEST_CASE("Readiness is evaluated when asked and not remembered")
{
    Readiness readiness;
    bool leased = true;
    readiness.addCondition(NotReadyReason::NoConfigurationLease, [&leased] { return leased; });
    readiness.started();
    CHECK(readiness.isReady());
    leased = false;
    CHECK(readiness.reasons() == std::vector<NotReadyReason>{NotReadyReason::NoConfigurationLease});
    leased = true;
    CHECK(readiness.isReady());
}
