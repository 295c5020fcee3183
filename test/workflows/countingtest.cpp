#include <catch2/catch.hpp>

#include "workflows/simulation.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

#include <string>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr WorkflowId job = static_cast<WorkflowId>(1);

struct CountingFixture : Simulation
{
    CountingFixture()
        : Simulation(1, 2, 4000)
    {
        spdlog::set_level(spdlog::level::off);
    }

    bool shows(const std::string &line)
    {
        return this->metrics.exposition().find("\n" + line + "\n") != std::string::npos;
    }
};

} // namespace

// Guards against counting a finished job twice. Two commands of the same millisecond were stored in
// one batch, and the first ended a job. Both looked at the state after the batch, found that the
// job had ended in their millisecond, and counted it.
TEST_CASE_METHOD(CountingFixture, "a workflow that has ended is counted once", "[counting]")
{
    this->submit(job, {StoreFixture::step(4)});
    this->runFor(Milliseconds(100));
    this->controller().cancel(job, [](const Result<CommandOutcome> &) {});
    this->leave("t1");
    this->leave("t2");
    this->runFor(Milliseconds(100));
    REQUIRE(this->stateOf(job) == WorkflowState::Cancelled);
    CHECK(this->shows("guavavalve_workflows_total{state=\"cancelled\"} 1"));
}

// Guards against counting a job again when the ends of two gang members are listed in the same
// millisecond but stored in two batches: the first one already ends the job.
TEST_CASE_METHOD(CountingFixture, "a gang whose members end one by one is counted once",
                 "[counting]")
{
    constexpr unsigned jobs = 60;
    this->storeTime = Milliseconds(20);
    this->calendarStepMs = 50; // both ends fall into one calendar step, but into two batches
    this->changeController(Milliseconds(0));
    this->runFor(Milliseconds(500));
    StepSpec gang = StoreFixture::gang(2);
    gang.maxPerTarget = 1;
    for (unsigned id = 1; id <= jobs; ++id) {
        this->submit(static_cast<WorkflowId>(id), {gang});
        this->runFor(Milliseconds(3500));
    }
    REQUIRE(this->isAllOver());
    CHECK(this->shows("guavavalve_workflows_total{state=\"completed\"} " + std::to_string(jobs)));
}

// Guards against reporting no waiting jobs while a job has been placed on a target that was just
// disconnected and never receives the start.
TEST_CASE_METHOD(CountingFixture, "a job counts as waiting until a target has started it",
                 "[counting]")
{
    for (const char *name : {"t1", "t2"})
        this->fleet.cut(name, false);
    this->submit(job, {StoreFixture::step(1)});
    this->loop.runFor(Milliseconds(100));
    REQUIRE(this->machine.read([](const WorkflowStore &store) { return store.find(job)->placed; })
            == 1);
    CHECK(this->controller().waitingIn("q") == 1);
    CHECK(this->controller().waitingIn("other") == 0);
}

// A controller that takes over learns from the targets' lists that a placed job has started.
TEST_CASE_METHOD(CountingFixture, "a new controller counts no running job as waiting", "[counting]")
{
    this->submit(job, {StoreFixture::step(1)});
    this->runFor(Milliseconds(100));
    CHECK(this->controller().waitingIn("q") == 0);
    this->changeController(Milliseconds(0));
    this->loop.runFor(Milliseconds(100));
    REQUIRE(this->stateOf(job) == WorkflowState::Running);
    CHECK(this->controller().waitingIn("q") == 0);
}

// Guards against a count of waiting jobs that is kept too long.
TEST_CASE_METHOD(CountingFixture, "jobs that have come meanwhile are counted within half a second",
                 "[counting]")
{
    for (const char *name : {"t1", "t2"})
        this->fleet.cut(name, false);
    CHECK(this->controller().waitingIn("q") == 0);
    this->submit(job, {StoreFixture::step(1)});
    this->loop.runFor(Milliseconds(600));
    CHECK(this->controller().waitingIn("q") == 1);
}
