#include "core/mechanism.h"

#include <catch2/catch.hpp>

using namespace guavavalve;

TEST_CASE("mechanisms are enabled unless they are named")
{
    CHECK(mechanismsWithout("").value().has(Mechanism::Shares));
    const MechanismSet some = mechanismsWithout("shares,held-calls").value();
    CHECK_FALSE(some.has(Mechanism::Shares));
    CHECK_FALSE(some.has(Mechanism::HeldCalls));
    CHECK(some.has(Mechanism::Intake));
}

TEST_CASE("an unknown mechanism is reported with the known ones")
{
    const auto unknown = mechanismsWithout("shares,share");
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == ErrorCode::InvalidArgument);
    CHECK(unknown.error().message.find("\"share\"; known are shares intake") != std::string::npos);
}
