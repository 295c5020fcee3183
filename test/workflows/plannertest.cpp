#include <catch2/catch.hpp>

#include "workflows/planfixture.h"

using namespace guavavalve;
using namespace guavavalve::workflows;

TEST_CASE_METHOD(PlanFixture, "tasks are placed only as far as targets have room", "[planner]")
{
    this->accept({step(13)}); // three targets hold four each
    CHECK(this->applyPlan() == 12);
    CHECK(this->applyPlan() == 0);
    CHECK(this->plan().summary.waitingTasks.at(0) == 1);
}

TEST_CASE_METHOD(PlanFixture, "a gang is placed whole or not at all", "[planner]")
{
    this->accept({gang(13)});
    CHECK(this->applyPlan() == 0);
    this->registerIncarnation("t4", 1);
    CHECK(this->applyPlan() == 13);
}

TEST_CASE_METHOD(PlanFixture, "a gang waits until all members of its last run have ended",
                 "[planner]")
{
    this->accept({gang(2)});
    CHECK(this->applyPlan() == 2);
    this->end(0, 0, 1, RunOutcome::Lost);
    CHECK(this->applyPlan() == 0);
    this->end(0, 1, 1, RunOutcome::Broken);
    CHECK(this->applyPlan() == 2);
    CHECK(this->task(0, 0).run == 2);
    CHECK(this->task(0, 1).run == 2);
}

TEST_CASE_METHOD(PlanFixture, "run numbers are counted for each task", "[planner]")
{
    this->accept({step(2)});
    this->place(0, 1, {1});
    this->end(0, 0, 1, RunOutcome::Failed);
    CHECK(this->applyPlan() == 2);
    CHECK(this->task(0, 0).run == 2);
    CHECK(this->task(0, 1).run == 1);
}

TEST_CASE_METHOD(PlanFixture, "an account stays within its limit", "[planner]")
{
    AccountPolicy account;
    account.limit[ResourceKind::MilliCores] = 2500;
    this->policy.accounts["a"] = account;
    this->accept({step(6)});
    CHECK(this->applyPlan() == 2);
}

TEST_CASE_METHOD(PlanFixture, "placement respects label, service and limit per target", "[planner]")
{
    StepSpec spec = step(6);
    spec.maxPerTarget = 1;
    this->accept({spec});
    CHECK(this->applyPlan() == 3);
    StoreFixture labelled;
    spec.label = "fast";
    labelled.accept({spec});
    this->store = labelled.store;
    CHECK(this->applyPlan() == 0);
    this->store = StoreFixture().store;
    this->accept({step(1)});
    this->policy.queues["q"].service = "other";
    CHECK(this->applyPlan() == 0);
}

TEST_CASE_METHOD(PlanFixture, "tasks are placed on the rack of their data while it has room",
                 "[planner]")
{
    TargetIdentity near;
    near.name = "near";
    near.startedAtMs = 1;
    near.service = "s";
    near.rack = "r1-1";
    near.capacity[ResourceKind::MilliCores] = 9000;
    this->apply(RegisterIncarnation{near});
    StepSpec spec = step(2);
    spec.dataRack = "r1-1";
    this->accept({spec});
    CHECK(this->applyPlan() == 2);
    CHECK(this->store.find(incarnation(4))->placed.size() == 2);
}

TEST_CASE_METHOD(PlanFixture, "a more urgent queue is placed first", "[planner]")
{
    this->policy.queues["urgent"] = this->policy.queues["q"];
    this->policy.queues["q"].priority = 2;
    this->accept({step(12)});
    WorkflowSpec urgent;
    urgent.id = static_cast<WorkflowId>(99);
    urgent.queue = "urgent";
    urgent.account = "a";
    urgent.steps = {step(12)};
    this->apply(AcceptWorkflow{urgent});
    const Plan made = this->plan();
    REQUIRE(made.placements.size() == 1);
    CHECK(made.placements[0].step.workflow == urgent.id);
}

TEST_CASE_METHOD(PlanFixture, "a step without an admission is not placed but queried about",
                 "[planner]")
{
    this->needAdmission();
    this->accept({step(2)});
    const Plan first = this->plan();
    CHECK(first.placements.empty());
    REQUIRE(first.queries.size() == 1);
    CHECK(first.queries[0].targets.size() == 3);
    this->admissions[at(0)].asked = {incarnation(1)};
    CHECK(this->plan().queries.empty());
    this->admissions[at(0)].asked.clear();
    this->admissions[at(0)].refused = {incarnation(1), incarnation(3)};
    this->admit(2, Milliseconds(1500));
    CHECK(this->applyPlan() == 2);
    CHECK(this->store.find(incarnation(2))->placed.size() == 2);
}

TEST_CASE_METHOD(PlanFixture, "a ticket that is about to expire is not used", "[planner]")
{
    this->needAdmission();
    this->accept({step(1)});
    this->admissions[at(0)].refused = {incarnation(1), incarnation(3)};
    this->admit(2, Milliseconds(100));
    const Plan made = this->plan();
    CHECK(made.placements.empty());
    REQUIRE(made.queries.size() == 1);
    CHECK(made.queries[0].targets == std::vector<IncarnationId>{incarnation(2)});
}

TEST_CASE_METHOD(PlanFixture, "a gang's tickets are renewed only if all of it has room",
                 "[planner]")
{
    // Guards against queries that cannot help. One about a gang takes half a second of a service
    // that answers one at a time. Gangs that renewed their tickets whenever these expired used two
    // thirds of its time, and short steps waited behind them.
    this->needAdmission();
    this->accept({gang(6)});
    this->admissions[at(0)].refused = {incarnation(3)};
    this->admit(1, Milliseconds(0));
    this->admit(2, Milliseconds(0));
    const Plan made = this->plan();
    REQUIRE(made.queries.size() == 1);
    CHECK(made.queries[0].targets.size() == 2);
    std::size_t claimed = 0;
    for (const auto &[target, tasks] : made.queries[0].claim)
        claimed += tasks;
    CHECK(claimed == 6);
    this->closed = {incarnation(2)};
    CHECK(this->plan().queries.empty());
}

TEST_CASE_METHOD(PlanFixture, "claimed room is reserved for its step", "[planner]")
{
    // Guards against a gang that repeats its query indefinitely because small tasks take its room
    // while the query is pending.
    this->policy.queues["small"] = this->policy.queues["q"];
    this->accept({gang(12)});
    this->add(3, "small", step(4));
    this->claims[at(0)] = {{{incarnation(1), 4}, {incarnation(2), 4}, {incarnation(3), 4}},
                           this->now + Milliseconds(500)};
    this->needAdmission();
    CHECK(this->plan().placements.empty());
    for (unsigned i = 1; i <= 3; ++i)
        this->admit(i, Milliseconds(1500));
    const Plan made = this->plan();
    REQUIRE(made.placements.size() == 1);
    CHECK(made.placements[0].step == at(0));
    this->claims[at(0)].until = this->now;
    this->admissions.clear();
    CHECK(this->plan().placements.size() == 1); // an expired claim reserves nothing
}

// Guards against urgent work that waits while room is idle because less urgent work claims it.
TEST_CASE_METHOD(PlanFixture, "urgent work may use room that less urgent work claims", "[planner]")
{
    this->policy.queues["urgent"] = this->policy.queues["q"];
    this->policy.queues["q"].priority = 1;
    this->needAdmission();
    this->accept({gang(12)});
    this->claims[at(0)] = {{{incarnation(1), 4}, {incarnation(2), 4}, {incarnation(3), 4}},
                           this->now + Milliseconds(500)};
    this->add(3, "urgent", step(4));
    const Plan made = this->plan();
    REQUIRE(made.placements.size() == 1);
    CHECK(made.placements[0].step.workflow == static_cast<WorkflowId>(3));
    CHECK(made.placements[0].placements.size() == 4);
}

TEST_CASE_METHOD(PlanFixture, "room is reserved for a waiting gang", "[planner]")
{
    // Guards against a gang that never starts: in a full cell small tasks end one by one, and each
    // gap went to the next small task, although the gang needs a whole target.
    this->policy.queues["small"] = this->policy.queues["q"];
    this->policy.queues["small"].priority = 1;
    WorkflowSpec running;
    running.id = static_cast<WorkflowId>(3);
    running.queue = "small";
    running.account = "a";
    running.steps = {step(9)}; // one of four slots on each target stays free
    this->apply(AcceptWorkflow{running});
    PlaceRuns command{{running.id, 0, 0}, 1, {}};
    for (std::uint16_t i = 0; i < 9; ++i)
        command.placements.push_back({i, incarnation(1 + i % 3)});
    REQUIRE(this->apply(command) == CommandOutcome::Applied);
    WorkflowSpec waiting = running;
    waiting.id = static_cast<WorkflowId>(4);
    this->apply(AcceptWorkflow{waiting});
    CHECK(this->plan().placements.size() == 1); // without the gang, small tasks fill the gaps
    this->accept({gang(6)});
    CHECK(this->plan().placements.empty());
}

TEST_CASE_METHOD(PlanFixture, "a target on probation takes one task and no gang member",
                 "[planner]")
{
    this->onProbation = {incarnation(1), incarnation(2), incarnation(3)};
    this->accept({step(6)});
    CHECK(this->applyPlan() == 3);
    this->store = StoreFixture().store;
    this->accept({gang(2)});
    CHECK(this->applyPlan() == 0);
}

TEST_CASE_METHOD(PlanFixture, "a failed task is retried on another target if there is a choice",
                 "[planner]")
{
    // Guards against jobs that fail because of one bad target: a target that fails everything also
    // had room for the second attempt, and a job with two attempts was given up.
    this->accept({step(1)});
    this->place(0, 1, {2});
    this->end(0, 0, 1, RunOutcome::Failed);
    this->place(0, 2, {1}); // the second fullest, which the next attempt would prefer
    this->end(0, 0, 2, RunOutcome::Failed, 9);
    CHECK(this->applyPlan() == 1);
    CHECK(this->task(0, 0).incarnation != incarnation(1));
    this->end(0, 0, 3, RunOutcome::Lost);
    this->closed = {incarnation(2), incarnation(3)};
    CHECK(this->applyPlan() == 1);
}

TEST_CASE_METHOD(PlanFixture, "workflows that are already late are placed after the others",
                 "[planner]")
{
    // Guards against a cascade of late jobs in an overloaded cell: ordered by objective alone, the
    // oldest jobs, already late, came first and made the others late too. Only 37 of 92 large jobs
    // were on time.
    this->policy.queues["q"].slackMs = 500;
    StepSpec whole = gang(12); // the whole cell
    whole.estimatedMs = 1000;
    this->accept({whole});
    WorkflowSpec later;
    later.id = static_cast<WorkflowId>(8);
    later.queue = "q";
    later.account = "a";
    later.acceptedAtMs = 900;
    later.steps = {whole};
    this->apply(AcceptWorkflow{later});
    this->calendarMs = 400;
    REQUIRE(this->plan().placements.size() == 1);
    CHECK(this->plan().placements[0].step == at(0));
    this->calendarMs = 1000; // the first would end at 2000, and should have by 1500
    REQUIRE(this->plan().placements.size() == 1);
    CHECK(this->plan().placements[0].step.workflow == later.id);
}

namespace {

/// Twelve targets with room for four tasks each, three of which are taken by small ones. The tasks
/// of a wide gang need the room of two tasks on one target.
class CrowdedCell : public PlanFixture
{
public:
    CrowdedCell()
        : PlanFixture(12)
    {
        this->policy.queues["small"] = this->policy.queues["q"];
        this->policy.queues["small"].priority = 1;
        this->add(100, "small", step(36));
        PlaceRuns running{{static_cast<WorkflowId>(100), 0, 0}, 1, {}};
        for (std::uint16_t i = 0; i < 36; ++i)
            running.placements.push_back({i, incarnation(1 + i % 12U)});
        REQUIRE(this->apply(running) == CommandOutcome::Applied);
        this->add(101, "small", step(12));
    }

    static StepSpec wideGang(std::uint16_t tasks)
    {
        StepSpec spec = gang(tasks);
        spec.need[ResourceKind::MilliCores] = 2000;
        return spec;
    }
};

} // namespace

TEST_CASE_METHOD(CrowdedCell, "at most a sixth of the cell is reserved for waiting gangs",
                 "[planner]")
{
    // Guards against too much reserved room: in a full cell room was reserved for every waiting
    // gang and stayed idle, and batch steps that could have used it were late.
    for (unsigned id = 1; id <= 3; ++id)
        this->add(id, "q", wideGang(4));
    CHECK(this->applyPlan() == 8); // the gaps on the first gang's four targets stay empty
}

TEST_CASE_METHOD(CrowdedCell, "no room is reserved for a gang that can never start", "[planner]")
{
    // Guards against room that is reserved forever for a gang that is larger than all targets
    // together.
    this->add(1, "q", wideGang(25));
    CHECK(this->applyPlan() == 12);
}

// Guards against polling a whole large fleet while a step only waits for the answer to a query.
TEST_CASE_METHOD(PlanFixture, "a plan is short of room only if no query can find more", "[planner]")
{
    this->needAdmission();
    this->accept({gang(20)});
    this->admit(1, Milliseconds(1400));
    CHECK_FALSE(this->plan().summary.isShort); // the plan asks about the other targets
    this->admissions[at(0)].asked.insert(incarnation(2));
    CHECK_FALSE(this->plan().summary.isShort);
    this->admissions[at(0)].asked.clear();
    this->admissions[at(0)].refused = {incarnation(2), incarnation(3)};
    CHECK(this->plan().summary.isShort);
}

// Guards against urgent tasks that wait for a plan of thousands of other steps.
TEST_CASE_METHOD(PlanFixture, "a plan of the most urgent steps leaves the others alone",
                 "[planner]")
{
    this->policy.queues["batch"] = this->policy.queues["q"];
    this->policy.queues["batch"].priority = 2;
    this->accept({step(1)});
    this->add(2, "batch", step(1));
    this->scope = PlanScope::MostUrgent;
    const Plan urgent = this->plan();
    REQUIRE(urgent.placements.size() == 1);
    CHECK(urgent.placements[0].step.workflow == this->job);
    CHECK(urgent.waiting.empty());
    this->scope = PlanScope::All;
    CHECK(this->plan().placements.size() == 2);
}

// Guards against gangs, which wait for all of their room at once, that pass for overload.
TEST_CASE_METHOD(PlanFixture, "a waiting gang does not count as waiting work of its queue",
                 "[planner][intake]")
{
    this->policy.queues["q"].stretch = 1.0;
    this->policy.queues["q"].slackMs = 60000;
    this->accept({step(12)}); // all that the targets hold
    REQUIRE(this->applyPlan() == 12);
    this->add(51, "q", gang(3));
    CHECK(this->plan().summary.queues.at("q").waitingWork.empty());
    this->add(52, "q", step(1));
    CHECK(this->plan().summary.queues.at("q").waitingWork.size() == 1);
}

// Guards against an intake that takes the time of queries in an idle cell for a shortage, and
// against one that sees no shortage while queries queue up at the instances.
TEST_CASE_METHOD(PlanFixture, "tasks wait for queries only if these are queued",
                 "[planner][intake]")
{
    this->accept({step(1)});
    this->needAdmission();
    this->policy.queues["q"].slackMs = 1000000000;
    this->admissions[at(0)].asked.insert(incarnation(1));
    this->querierCount = 2;
    this->openQueries = 2;
    CHECK(this->plan().summary.queues["q"].waitingWork.empty());
    this->openQueries = 3;
    CHECK(this->plan().summary.queues["q"].waitingWork.size() == 1);
}
