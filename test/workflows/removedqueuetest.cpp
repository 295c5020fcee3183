#include <catch2/catch.hpp>

#include "workflows/simulation.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <string>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr WorkflowId job = static_cast<WorkflowId>(1);
constexpr std::uint16_t allowedFailures = 3;

struct RemovedQueueFixture : Simulation
{
    RemovedQueueFixture()
        : Simulation(1)
    {
        spdlog::set_level(spdlog::level::off);
        this->fleet.workOf = [](const TaskAddress &) { return Milliseconds(500); };
        this->policy.queues.begin()->second.maxFailures = allowedFailures;
        this->put();
        this->runFor(Milliseconds(1000));
    }

    /// Puts the present policy into force as a new document.
    void put()
    {
        ++this->version;
        this->controller().storeDocument(this->version, "document " + std::to_string(this->version),
                                         [](const Result<CommandOutcome> &) {});
        this->runFor(Milliseconds(50));
    }

    std::int64_t version = 100;
};

} // namespace

// Guards against accepted work that waits for ever once its queue is removed.
TEST_CASE_METHOD(RemovedQueueFixture, "the accepted work of a removed queue is carried out",
                 "[removedqueue]")
{
    const bool isControllerChanged = GENERATE(false, true);
    this->submit(job, {StoreFixture::step(1), StoreFixture::step(1, {0})});
    this->runFor(Milliseconds(200));
    this->policy.queues.clear();
    this->put();
    if (isControllerChanged)
        this->changeController(Milliseconds(0));
    this->runFor(Milliseconds(8000));
    CHECK(this->stateOf(job) == WorkflowState::Completed);
}

// Guards against one attempt more than allowed for a task that fails while its queue is removed.
TEST_CASE_METHOD(RemovedQueueFixture, "attempts count while the queue is removed", "[removedqueue]")
{
    const auto queues = this->policy.queues;
    this->fleet.faults.failedTask = 1.0;
    this->submit(job, {StoreFixture::step(1)});
    for (int i = 0; i < 1000 && this->fleet.starts < allowedFailures; ++i)
        this->runFor(Milliseconds(20));
    this->policy.queues.clear();
    this->put();
    this->runFor(Milliseconds(3000));
    this->policy.queues = queues;
    this->put();
    this->runFor(Milliseconds(5000));
    CHECK(this->stateOf(job) == WorkflowState::Failed);
    CHECK(this->fleet.failures == allowedFailures);
}

// Guards against a document that this version cannot read, and whose queues would be recorded as
// those of the document before it.
TEST_CASE_METHOD(RemovedQueueFixture, "the queues of an unreadable document are not recorded",
                 "[removedqueue]")
{
    const auto recorded = [this] {
        return this->machine.read([](const WorkflowStore &s) { return s.queuesVersion(); });
    };
    REQUIRE(recorded() == this->version);
    this->isPolicyReadable = false;
    this->put();
    CHECK(recorded() == this->version - 1);
    this->isPolicyReadable = true;
    this->put();
    CHECK(recorded() == this->version);
}

// Guards against the settings of removed queues that pile up with each change of the document.
TEST_CASE("a removed queue without work is forgotten", "[removedqueue]")
{
    StoreFixture f;
    f.accept({f.step(1)});
    const auto record = [&f](std::int64_t version, const std::string &queue, std::int64_t atMs) {
        return f.apply(RecordQueues{version, {{queue, QueuePolicy()}}, atMs});
    };
    const std::int64_t later = WorkflowStore::removedQueueRetentionMs + 2000;
    CHECK(record(1, "q", 0) == CommandOutcome::Applied);
    CHECK(record(1, "other", 0) == CommandOutcome::Unchanged);
    CHECK(record(2, "brief", 1000) == CommandOutcome::Applied);
    CHECK(record(3, "new", 1500) == CommandOutcome::Applied);
    CHECK(f.store.queues().size() == 3);
    CHECK(record(4, "new", later) == CommandOutcome::Applied);
    CHECK(f.store.queues().count("brief") == 0);
    CHECK(f.store.queues().count("q") == 1); // has a live workflow
    WorkflowStore restored;
    REQUIRE(restored.restore(f.store.snapshot()));
    CHECK(restored.queues().count("q") == 1);
    CHECK(restored.queuesVersion() == 4);
}
