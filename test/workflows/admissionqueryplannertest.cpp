#include <catch2/catch.hpp>

#include "workflows/planfixture.h"

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

/// A cell of 350 targets, which hold four tasks each.
class LargeCell : public PlanFixture
{
public:
    LargeCell()
        : PlanFixture(targets)
    {
        this->needAdvice();
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

TEST_CASE_METHOD(LargeCell, "in a full cell a gang learns of all its targets at once",
                 "[questions]")
{
    // Callers with large jobs waited ten seconds and more although a third of the cell could run
    // them: the gang asked about 30 targets, waited 0.8 s for the answer, found these full, asked
    // about the next 30, and so on, eleven times.
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

TEST_CASE_METHOD(LargeCell, "in an empty cell a gang asks about what it probably needs",
                 "[questions]")
{
    // Three in ten targets may run it, each with room for four: 20 tasks need 17 on average, and
    // with room to spare 42. Each name more costs the service 7 ms.
    this->accept({gang(20)});
    const Plan made = this->plan();
    REQUIRE(made.queries.size() == 1);
    CHECK(made.queries[0].targets.size() == 42);
}

// Guards against a question that the service refuses because it names too many targets.
TEST_CASE_METHOD(LargeCell, "a large gang renews its tickets in several questions", "[questions]")
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

// Guards against gangs that take up the admission service while what they lack is room.
TEST_CASE_METHOD(LargeCell, "a gang that knows enough targets asks about no more", "[questions]")
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

// Guards against instances that stand idle while a gang could learn of more targets.
TEST_CASE_METHOD(LargeCell, "with instances idle a gang asks about all targets", "[questions]")
{
    this->fill();
    for (unsigned id = 10; id < 12; ++id) {
        this->add(id, "q", gang(20));
        const StepAddress step{static_cast<WorkflowId>(id), 0, 0};
        for (unsigned i = 1; i <= 25; ++i)
            this->admissions[step].admitted[incarnation(i)] = {"ticket",
                                                               this->now + Milliseconds(1400)};
    }
    // The first is near its turn and has fresh tickets; the second has time to learn.
    this->querierCount = 4;
    const Plan idle = this->plan();
    REQUIRE(idle.queries.size() == 4);
    CHECK(idle.queries[0].step.workflow == static_cast<WorkflowId>(11));
    this->openQueries = 2;
    CHECK(this->plan().queries.empty());
}

// Guards against room that has gathered for a gang and stands empty until its tickets are renewed.
TEST_CASE_METHOD(LargeCell, "a gang whose turn is near renews its tickets before it has room",
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

// Guards against a figure of one deployment that decides how much is asked on another.
TEST_CASE_METHOD(LargeCell, "how many targets a gang names follows what was admitted",
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

// Guards against a few gangs that keep the instances of a small cell busy with their tickets.
TEST_CASE_METHOD(LargeCell, "few instances keep the tickets of few gangs fresh", "[questions]")
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
