#include "core/fairshare.h"

#include <catch2/catch.hpp>

#include <limits>
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

TEST_CASE("a mixture of resources is allotted by dominant share")
{
    // Ghodsi et al., 2011: tasks of <1 CPU, 4 GB> and <3 CPU, 1 GB> on 9 CPU and 18 GB.
    const std::vector<double> allotted =
        fairMixedAllotments({{9.0, 1.0, {0.5, 1.0}}, {9.0, 1.0, {1.0, 1.0 / 6.0}}}, {1.0, 1.0});
    CHECK(allotted[0] == Approx(2.0 / 3.0));
    CHECK(allotted[1] == Approx(2.0 / 3.0));
}

TEST_CASE("all shares stop growing when the first resource is exhausted")
{
    const std::vector<double> allotted = fairMixedAllotments(
        {{1.0, 1.0, {1.0, 0.0}}, {1.0, 1.0, {1.0, 0.2}}, {0.1, 1.0, {0.0, 1.0}}}, {0.6, 1.0});
    CHECK(allotted[0] == Approx(0.3));
    CHECK(allotted[1] == Approx(0.3));
    CHECK(allotted[2] == Approx(0.1));
}

TEST_CASE("a huge weight leaves the rest to the others by their weights")
{
    const std::vector<double> allotted = fairMixedAllotments(
        {{0.5, 1e30, {1.0}}, {1.0, 3.0, {1.0}}, {1.0, 1.0, {1.0}}, {1.0, 0.0, {1.0}}}, {0.9});
    CHECK(allotted[0] == Approx(0.5));
    CHECK(allotted[1] == Approx(0.3));
    CHECK(allotted[2] == Approx(0.1));
    CHECK(allotted[3] < 1e-6);
}

TEST_CASE("weights that are no numbers allot nothing beyond the room")
{
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const std::vector<double> allotted =
        fairMixedAllotments({{1.0, nan, {1.0}}, {1.0, -2.0, {1.0}}, {0.0, 1.0, {0.0}}}, {0.8});
    CHECK(allotted[0] == Approx(0.4));
    CHECK(allotted[1] == Approx(0.4));
    CHECK(allotted[2] == 0.0);
    CHECK(fairMixedAllotments({}, {1.0}).empty());
}
