#include "runtime/readiness.h"

#include <catch2/catch.hpp>

using namespace guavavalve;

TEST_CASE("An instance is not ready before it has started or after shutdown has begun")
{
    Readiness readiness;
    CHECK(readiness.reasons() == std::vector<NotReadyReason>{NotReadyReason::Starting});
    readiness.started();
    CHECK(readiness.isReady());
    readiness.beginShutdown();
    CHECK(readiness.reasons() == std::vector<NotReadyReason>{NotReadyReason::ShuttingDown});
}

// A suspended instance resumes after its configuration lease has expired, and the load balancer
// probes it at once. A cached result from before the suspension would bring it requests that it
// must refuse. As the condition is evaluated at each call, the first result is "not ready".
TEST_CASE("Readiness is evaluated at each call and not cached")
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
