#include <catch2/catch.hpp>

#include "workflows/sessions/fencesequence.h"

using namespace guavavalve::workflows;

// Guards against two orders that a target cannot put in order.
TEST_CASE("fencing tokens rise within a term and from term to term", "[fence]")
{
    FenceSequence first(1);
    std::uint64_t last = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::uint64_t token = first.next();
        CHECK(token > last);
        last = token;
    }
    CHECK(FenceSequence(2).next() > last);
}

// Guards against tokens that a reader rounds because it holds numbers as floating point.
TEST_CASE("fencing tokens are exact as floating point numbers", "[fence]")
{
    FenceSequence late((1U << 25U) - 1);
    const std::uint64_t token = late.next();
    const std::uint64_t next = late.next();
    CHECK(static_cast<std::uint64_t>(static_cast<double>(token)) == token);
    CHECK(static_cast<double>(token) < static_cast<double>(next));
}
