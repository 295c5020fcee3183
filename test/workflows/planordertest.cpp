#include <catch2/catch.hpp>

#include "workflows/planfixture.h"
#include "workflows/shares/accountshares.h"
#include "workflows/shares/accountuse.h"

#include <algorithm>
#include <optional>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

/// Plans with and without shares. Steps of one task of 1,000 milli-cores; a target holds four.
class OrderFixture : public PlanFixture
{
public:
    using PlanFixture::PlanFixture;

    /// The workflows whose tasks the next plan would place, in order.
    std::vector<unsigned> placedOrder(bool hasShares)
    {
        this->accountUse = hasShares ? &this->use : nullptr;
        std::vector<unsigned> order;
        for (const PlaceRuns &command : this->plan().placements)
            order.push_back(static_cast<unsigned>(idValue(command.step.workflow)));
        return order;
    }

    /// Ends the placed single tasks of the \a count workflows with the lowest numbers.
    void endOldest(unsigned count)
    {
        std::vector<RunEnd> ends;
        for (const auto &[id, workflow] : this->store.workflows()) {
            const bool isSingle = workflow.spec.steps.size() == 1 && !workflow.spec.steps[0].gang;
            if (isSingle && workflow.placed == 1 && ends.size() < count)
                ends.push_back({{{id, 0, 0}, 0}, 1, RunOutcome::Succeeded, {}, 2});
        }
        this->apply(EndRuns{ends, 5});
    }

    AccountUse use;
};

} // namespace

TEST_CASE_METHOD(OrderFixture, "the order is as without shares while all tasks fit", "[shares]")
{
    for (unsigned id = 1; id <= 10; ++id)
        this->add(id, "q", step(1), id % 3 == 0 ? "a" : "b");
    CHECK(this->placedOrder(true) == this->placedOrder(false));
    CHECK(this->placedOrder(true).size() == 10);
}

TEST_CASE_METHOD(OrderFixture, "the order is as without shares for a single account", "[shares]")
{
    for (unsigned id = 1; id <= 20; ++id)
        this->add(id, "q", step(1), "a");
    CHECK(this->placedOrder(true) == this->placedOrder(false));
    CHECK(this->placedOrder(true).size() == 12);
}

// Guards against a flood of one account that arrives first.
TEST_CASE_METHOD(OrderFixture, "under contention steps beyond their account's share come last",
                 "[shares]")
{
    for (unsigned id = 1; id <= 20; ++id)
        this->add(id, "q", step(1), "a");
    this->add(21, "q", step(1), "b");
    this->add(22, "q", step(1), "c");
    CHECK(this->placedOrder(false).back() == 12);
    CHECK(this->placedOrder(true) == std::vector<unsigned>{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 21, 22});
}

TEST_CASE_METHOD(OrderFixture, "urgent work beyond its account's share comes before other work",
                 "[shares]")
{
    this->policy.queues["batch"] = this->policy.queues["q"];
    this->policy.queues["batch"].priority = 2;
    for (unsigned id = 1; id <= 20; ++id)
        this->add(id, "q", step(1), "a");
    this->add(21, "batch", step(1), "b");
    this->add(22, "q", step(1), "b");
    const std::vector<unsigned> order = this->placedOrder(true);
    CHECK(order.size() == 12);
    CHECK(std::count(order.begin(), order.end(), 21) == 0);
    CHECK(std::count(order.begin(), order.end(), 22) == 1);
}

// Guards against a gang that waits for as long as small tasks keep its account at its share.
TEST_CASE_METHOD(OrderFixture, "a gang of an account at its share starts beside a flood of another",
                 "[shares]")
{
    this->add(1, "q", gang(5), "a");
    for (unsigned id = 100; id < 200; ++id)
        this->add(id, "q", step(1), id % 4 == 0 ? "a" : "b");
    unsigned rounds = 0;
    this->accountUse = &this->use;
    while (this->store.find(static_cast<WorkflowId>(1))->placed == 0 && rounds < 40) {
        const Plan made = this->plan();
        for (const PlaceRuns &command : made.placements)
            REQUIRE(this->apply(command) == CommandOutcome::Applied);
        this->use.observe(made.shares->accountLoads(), {}, this->now);
        this->now += Milliseconds(200);
        this->endOldest(3);
        ++rounds;
    }
    CHECK(rounds < 20);
}

// Guards against an account whose share is used up by steps that cannot start.
TEST_CASE_METHOD(OrderFixture, "steps that cannot start take nothing of their account's share",
                 "[shares]")
{
    this->add(1, "q", gang(13), "a"); // larger than the cell
    this->policy.accounts["b"].limit[ResourceKind::MilliCores] = 8000;
    this->add(2, "q", gang(9), "b"); // beyond its limit
    for (unsigned id = 3; id <= 22; ++id)
        this->add(id, "q", step(1), "c");
    for (unsigned id = 23; id <= 26; ++id)
        this->add(id, "q", step(1), id % 2 == 0 ? "a" : "b");
    const std::vector<unsigned> order = this->placedOrder(true);
    for (const unsigned id : {23U, 24U, 25U, 26U})
        CHECK(std::count(order.begin(), order.end(), id) == 1);
}

// Guards against shares of query time that are enforced because of a step that has its answer.
TEST_CASE_METHOD(OrderFixture, "only steps that need a query show that query time is short",
                 "[shares]")
{
    this->needAdmission();
    this->policy.queues["later"] = this->policy.queues["q"];
    this->policy.queues["later"].priority = 1;
    this->policy.queues["q"].queryMsPerTarget = 100.0; // less for one target than for "later"
    this->policy.queues["q"].queryBaseMs = 10.0;
    this->reserveQuerier = [](Milliseconds) { return std::optional<InstanceId>(); };
    this->add(1, "q", step(1), "a");
    this->add(2, "later", step(1), "a");
    this->admissions[{static_cast<WorkflowId>(2), 0, 0}].asked.insert(incarnation(1));
    CHECK(this->plan().summary.queriesExhaustedFrom == 0U);
}

// Guards against shares that change plans of cells in which all work fits.
TEST_CASE_METHOD(OrderFixture, "plans of mixed work are as without shares while all fits",
                 "[shares]")
{
    this->policy.queues["batch"] = this->policy.queues["q"];
    this->policy.queues["batch"].priority = 2;
    this->policy.queues["queried"] = this->policy.queues["batch"];
    this->policy.queues["queried"].needsAdmission = true;
    this->policy.queues["queried"].queryBaseMs = 500;
    this->policy.queues["elsewhere"] = this->policy.queues["batch"];
    this->policy.queues["elsewhere"].service = "t"; // account "a" has work in two services
    this->add(1, "batch", gang(3), "a");
    this->add(2, "batch", step(2), "a");
    this->add(3, "q", step(1), "a");
    this->add(4, "q", step(2), "b");
    this->add(5, "queried", step(1), "a");
    this->add(6, "queried", gang(2), "c");
    this->add(7, "elsewhere", step(5), "a");
    this->calendarMs = GENERATE(1, 1000000); // on time, late
    const Plan without = this->plan();
    this->accountUse = &this->use;
    const Plan with = this->plan();
    REQUIRE(without.placements.size() == 4);
    REQUIRE(with.placements.size() == without.placements.size());
    for (std::size_t i = 0; i < with.placements.size(); ++i) {
        CHECK(with.placements[i].step == without.placements[i].step);
        REQUIRE(with.placements[i].placements.size() == without.placements[i].placements.size());
        for (std::size_t k = 0; k < with.placements[i].placements.size(); ++k) {
            const Placement &one = with.placements[i].placements[k];
            const Placement &other = without.placements[i].placements[k];
            CHECK(one.index == other.index);
            CHECK(one.incarnation == other.incarnation);
        }
    }
    REQUIRE(without.queries.size() >= 2);
    REQUIRE(with.queries.size() == without.queries.size());
    for (std::size_t i = 0; i < with.queries.size(); ++i) {
        CHECK(with.queries[i].step == without.queries[i].step);
        CHECK(with.queries[i].targets == without.queries[i].targets);
        CHECK(with.queries[i].claim == without.queries[i].claim);
    }
}
