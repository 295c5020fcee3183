#include <catch2/catch.hpp>

#include "runtime/descriptorbudget.h"

using namespace guavavalve;

TEST_CASE("descriptors beyond the minimums are divided by weight", "[descriptors]")
{
    const auto budget = DescriptorBudget::divide(164,
                                                 {{DescriptorUse::Files, 24, 0},
                                                  {DescriptorUse::Callers, 20, 1},
                                                  {DescriptorUse::Targets, 20, 3}});
    REQUIRE(budget);
    CHECK(budget.value().of(DescriptorUse::Files) == 24);
    CHECK(budget.value().of(DescriptorUse::Callers) == 45);
    CHECK(budget.value().of(DescriptorUse::Targets) == 95);
    CHECK(budget.value().of(DescriptorUse::Admissions) == 0);
}

TEST_CASE("the sum of all uses never exceeds the limit", "[descriptors]")
{
    for (std::size_t limit = 64; limit <= 200; ++limit) {
        const auto budget = DescriptorBudget::divide(limit,
                                                     {{DescriptorUse::Files, 16, 0},
                                                      {DescriptorUse::Peers, 8, 3},
                                                      {DescriptorUse::Callers, 16, 5},
                                                      {DescriptorUse::Targets, 24, 11}});
        REQUIRE(budget);
        std::size_t sum = 0;
        for (const auto &[use, name] : descriptorUseNames)
            sum += budget.value().of(use);
        CHECK(sum <= limit);
    }
}

TEST_CASE("a limit below the minimums is an error that says how many descriptors are needed",
          "[descriptors]")
{
    const auto budget = DescriptorBudget::divide(
        63, {{DescriptorUse::Files, 40, 0}, {DescriptorUse::Targets, 24, 1}});
    REQUIRE(!budget);
    CHECK(budget.error().code == ErrorCode::InvalidArgument);
    CHECK(budget.error().message.find("at least 64") != std::string::npos);
}
