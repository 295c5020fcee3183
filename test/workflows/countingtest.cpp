#include <catch2/catch.hpp>

#include "workflows/bookfixture.h"
#include "workflows/simulation.h"

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

// An operator's counts of finished jobs did not add up. Two commands of one millisecond were stored
// in one batch, the first of which ended a job; both looked at the state after the batch, found the
// job to have ended in their millisecond, and counted it.
TEST_CASE_METHOD(CountingFixture, "a workflow that is over is counted once", "[counting]")
{
    this->submit(job, {BookFixture::step(4)});
    this->runFor(Milliseconds(100));
    this->controller().cancel(job, [](const Result<CommandOutcome> &) {});
    this->leave("t1");
    this->leave("t2");
    this->runFor(Milliseconds(100));
    REQUIRE(this->stateOf(job) == WorkflowState::Cancelled);
    CHECK(this->shows("guavavalve_workflows_total{state=\"cancelled\"} 1"));
}

// Targets have just gone dark, and a job is placed on one before anybody knows. Its start never
// arrives. Its team asks how many jobs wait, and was told none.
TEST_CASE_METHOD(CountingFixture, "a job counts as waiting until a target has begun it",
                 "[counting]")
{
    for (const char *name : {"t1", "t2"})
        this->fleet.cut(name, false);
    this->submit(job, {BookFixture::step(1)});
    this->loop.runFor(Milliseconds(100));
    REQUIRE(this->machine.read([](const Book &book) { return book.find(job)->placed; }) == 1);
    CHECK(this->controller().waitingIn("q") == 1);
    CHECK(this->controller().waitingIn("other") == 0);
}

// A controller takes over while a job runs. It was begun, which the targets' lists say.
TEST_CASE_METHOD(CountingFixture, "a new controller counts no running job as waiting", "[counting]")
{
    this->submit(job, {BookFixture::step(1)});
    this->runFor(Milliseconds(100));
    CHECK(this->controller().waitingIn("q") == 0);
    this->changeController(Milliseconds(0));
    this->loop.runFor(Milliseconds(100));
    REQUIRE(this->stateOf(job) == WorkflowState::Running);
    CHECK(this->controller().waitingIn("q") == 0);
}
