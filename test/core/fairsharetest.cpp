#include "core/fairshare.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace guavavalve;

TEST_CASE("everything wanted is allotted if it fits")
{
    CHECK(fairAllotments({{3.0, 1.0}, {5.0, 9.0}}, 10.0) == std::vector<double>{3.0, 5.0});
    CHECK(fairAllotments({}, 10.0).empty());
}

TEST_CASE("a large demand does not reduce what smaller ones are allotted")
{
    const std::vector<double> allotted =
        fairAllotments({{100.0, 1.0}, {2.0, 1.0}, {3.0, 1.0}}, 12.0);
    CHECK(allotted[0] == Approx(7.0));
    CHECK(allotted[1] == Approx(2.0));
    CHECK(allotted[2] == Approx(3.0));
}

TEST_CASE("unsatisfied demands are allotted by weight")
{
    const std::vector<double> allotted = fairAllotments({{100.0, 3.0}, {100.0, 1.0}}, 8.0);
    CHECK(allotted[0] == Approx(6.0));
    CHECK(allotted[1] == Approx(2.0));
}

TEST_CASE("weights and demands that make no sense allot nothing beyond the capacity")
{
    const std::vector<double> allotted =
        fairAllotments({{10.0, 0.0}, {10.0, -4.0}, {-1.0, 1.0}, {10.0, 1e12}}, 12.0);
    CHECK(allotted[2] == 0.0);
    CHECK(allotted[3] == Approx(10.0));
    CHECK(allotted[0] + allotted[1] == Approx(2.0));
    CHECK(fairAllotments({{10.0, 1.0}}, -1.0) == std::vector<double>{0.0});
}
