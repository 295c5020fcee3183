#include <catch2/catch.hpp>

#include "workflows/planfixture.h"

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

/// A cell of 350 targets with room for four tasks each.
class LargeCell : public PlanFixture
{
public:
    LargeCell()
        : PlanFixture(targets)
    {
        this->needAdmission();
    }

    /// Fills all targets with tasks of another queue.
    void fill()
    {
        WorkflowSpec running;
        running.id = static_cast<WorkflowId>(3);
        running.queue = "q";
        running.account = "a";
        running.steps = {step(4 * targets)};
        this->apply(AcceptWorkflow{running});
        PlaceRuns command{{running.id, 0, 0}, 1, {}};
        for (unsigned i = 0; i < 4 * targets; ++i)
            command.placements.push_back(
                {static_cast<std::uint16_t>(i), incarnation(1 + i % targets)});
        REQUIRE(this->apply(command) == CommandOutcome::Applied);
    }

    static constexpr unsigned targets = 350;
};

} // namespace

TEST_CASE_METHOD(LargeCell, "in a full cell a gang queries about all targets at once",
                 "[questions]")
{
    // Guards against a gang that queries about its targets in sequence: it named 30 targets, waited
    // 0.8 s for the answer, found these full, named the next 30, and so on, eleven times. Large
    // jobs waited ten seconds and more although a third of the cell could run them.
    this->fill();
    this->accept({gang(20)});
    const Plan made = this->plan();
    REQUIRE(made.queries.size() == 4);
    std::set<IncarnationId> named;
    for (const AdmissionQuery &query : made.queries) {
        CHECK(query.targets.size() <= 100);
        named.insert(query.targets.begin(), query.targets.end());
    }
    CHECK(named.size() == targets);
    this->admissions[at(0)].asked = named;
    CHECK(this->plan().queries.empty());
}

TEST_CASE_METHOD(LargeCell,
                 "in an empty cell a gang queries about as many targets as it probably needs",
                 "[questions]")
{
    // Three targets in ten may run it, each with room for four tasks: 20 tasks need 17 targets on
    // average, and 42 with a margin. Each further target costs the service 7 ms.
    this->accept({gang(20)});
    const Plan made = this->plan();
    REQUIRE(made.queries.size() == 1);
    CHECK(made.queries[0].targets.size() == 42);
}

// Guards against a query that the service refuses because it names too many targets.
TEST_CASE_METHOD(LargeCell, "a large gang renews its tickets in several queries", "[questions]")
{
    this->accept({gang(600)});
    for (unsigned i = 1; i <= targets; ++i)
        this->admissions[at(0)].admitted[incarnation(i)] = {"ticket", this->now};
    const Plan made = this->plan();
    REQUIRE(made.queries.size() == 2);
    std::size_t claimed = 0;
    std::set<IncarnationId> named;
    for (const AdmissionQuery &query : made.queries) {
        CHECK(query.targets.size() <= 100);
        named.insert(query.targets.begin(), query.targets.end());
        for (const auto &[target, tasks] : query.claim)
            claimed += tasks;
    }
    CHECK(named.size() == 150);
    CHECK(claimed == 600);
}

// Guards against gangs that occupy the admission service although what they lack is room.
TEST_CASE_METHOD(LargeCell, "a gang that knows enough targets sends no more queries", "[questions]")
{
    this->fill();
    this->accept({gang(20)});
    for (unsigned i = 1; i <= 25; ++i)
        this->admissions[at(0)].admitted[incarnation(i)] = {"ticket",
                                                            this->now + Milliseconds(1400)};
    this->openQueries = this->querierCount;
    CHECK(this->plan().queries.empty());
    this->admissions[at(0)].admitted.erase(incarnation(25));
    CHECK_FALSE(this->plan().queries.empty());
}

// Guards against idle instances while a gang could find more targets.
TEST_CASE_METHOD(LargeCell, "a gang queries about all targets while instances are idle",
                 "[questions]")
{
    this->fill();
    for (unsigned id = 10; id < 12; ++id) {
        this->add(id, "q", gang(20));
        const StepAddress step{static_cast<WorkflowId>(id), 0, 0};
        for (unsigned i = 1; i <= 25; ++i)
            this->admissions[step].admitted[incarnation(i)] = {"ticket",
                                                               this->now + Milliseconds(1400)};
    }
    // The first gang is next in line and has valid tickets; the second uses the idle instances.
    this->querierCount = 4;
    const Plan idle = this->plan();
    REQUIRE(idle.queries.size() == 4);
    CHECK(idle.queries[0].step.workflow == static_cast<WorkflowId>(11));
    this->openQueries = 2;
    CHECK(this->plan().queries.empty());
}

// Guards against room that is reserved for a gang but stays idle until its tickets are renewed.
TEST_CASE_METHOD(LargeCell, "a gang that is next in line renews its tickets before it has room",
                 "[questions]")
{
    this->policy.queues["q"].queryBaseMs = 500;
    this->policy.queues["q"].queryMsPerTarget = 10;
    this->fill();
    this->accept({gang(20)});
    for (unsigned i = 1; i <= 25; ++i)
        this->admissions[at(0)].admitted[incarnation(i)] = {"ticket",
                                                            this->now + Milliseconds(900)};
    const Plan made = this->plan();
    REQUIRE(made.queries.size() == 1);
    CHECK(made.queries[0].targets.size() == 25);
    CHECK(made.queries[0].claim.empty());
    for (const IncarnationId target : made.queries[0].targets)
        CHECK(this->admissions[at(0)].admitted.count(target) == 1);
}

// Guards against queries that are sized by an admission rate measured elsewhere instead of the
// observed one.
TEST_CASE_METHOD(LargeCell, "a gang names fewer targets if more of them were admitted before",
                 "[questions]")
{
    this->accept({gang(20)});
    AdmittedFractions observed;
    for (int i = 0; i < 100; ++i)
        observed["q"].answered(10, 7);
    this->admittedFractions = &observed;
    const Plan made = this->plan();
    REQUIRE(made.queries.size() == 1);
    CHECK(made.queries[0].targets.size() == 18);
}

// Guards against a few gangs whose ticket renewals keep all instances of a small cell busy.
TEST_CASE_METHOD(LargeCell, "the number of instances limits how many gangs renew tickets early",
                 "[questions]")
{
    this->fill();
    for (unsigned id = 10; id < 14; ++id) {
        this->add(id, "q", gang(20));
        const StepAddress step{static_cast<WorkflowId>(id), 0, 0};
        for (unsigned i = 1; i <= 25; ++i)
            this->admissions[step].admitted[incarnation(i)] = {"ticket",
                                                               this->now + Milliseconds(100)};
    }
    this->querierCount = this->openQueries = 6;
    CHECK(this->plan().queries.size() == 1);
    this->querierCount = this->openQueries = 12;
    CHECK(this->plan().queries.size() == 3);
}
