#include <catch2/catch.hpp>

#include "core/core.h"

using namespace guavavalve;

namespace {

Result<int> half(int number)
{
    if (number % 2 != 0)
        return failure(ErrorCode::InvalidArgument, "the number must be even");
    return number / 2;
}

} // namespace

TEST_CASE("a task fits only if every kind of resource does", "[resources]")
{
    Resources room{{4000, 8192, 1, 8, 64}};
    CHECK(Resources{{4000, 8192, 1, 8, 64}}.fitsInto(room));
    CHECK_FALSE(Resources{{4000, 8192, 2, 1, 1}}.fitsInto(room));
    CHECK(Resources{{1000, 4096, 0, 1, 1}}.dominantShare(room) == 0.5);
}

TEST_CASE("an error is a value whose code has a name", "[error]")
{
    CHECK(half(4).value() == 2);
    const auto odd = half(3);
    REQUIRE(odd.has_error());
    CHECK(enumName(errorCodeNames, odd.error().code) == "invalid-argument");
    CHECK(enumFromName(workClassNames, "gang") == WorkClass::Gang);
    CHECK_FALSE(enumFromName(workClassNames, "bulk").has_value());
}
