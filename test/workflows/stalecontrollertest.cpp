#include <catch2/catch.hpp>

#include "core/codec.h"
#include "workflows/simulation.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

#include <utility>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

/// A log that applies commands at once and withholds their outcomes, like that of a replica whose
/// disk stalls.
class HeldLog : public InMemoryLog
{
public:
    using InMemoryLog::InMemoryLog;

    void propose(std::string command, Done<std::string> done) override
    {
        InMemoryLog::propose(std::move(command),
                             [this, done = std::move(done)](Result<std::string> outcome) {
                                 if (this->isHolding)
                                     this->withheldOutcomes.emplace_back(done, std::move(outcome));
                                 else
                                     done(std::move(outcome));
                             });
    }
    void release()
    {
        this->isHolding = false;
        for (auto &[done, outcome] : std::exchange(this->withheldOutcomes, {}))
            done(std::move(outcome));
    }

    bool isHolding = false;
    std::vector<std::pair<Done<std::string>, Result<std::string>>> withheldOutcomes;
};

} // namespace

// A controller's disk stalls while the other replicas commit its placement. They elect another
// leader, which runs the job to completion. When the disk recovers, the first controller learns of
// its placement before it learns that it no longer leads. It must not crash looking up a step of a
// job that is over.
TEST_CASE("a placement that is reported after its workflow is over starts nothing", "[controller]")
{
    spdlog::set_level(spdlog::level::off);
    VirtualLoop loop;
    SimulatedFleet fleet(loop, 1);
    WorkflowStoreMachine machine;
    HeldLog log(machine);
    AdmitAllPort admissions(loop);
    ControllerOptions options;
    options.readPolicy = [](const std::string &) -> Result<Policy> {
        Policy policy;
        policy.queues["q"].service = "s";
        return policy;
    };
    options.post = [&](std::function<void()> action) { loop.post(std::move(action)); };
    options.runAfter = [&](Microseconds delay, std::function<void()> action) {
        loop.runAfter(delay, std::move(action));
    };
    options.calendarMs = [&] { return loop.nowMs(); };
    options.clock = [&] { return loop.now(); };
    Controller controller(options, log, machine, fleet, admissions);
    controller.leadershipChanged(true, 1);
    controller.storeDocument(1, "policy", [](const Result<CommandOutcome> &) {});
    TargetReport report;
    report.identity = fleet.add("t1", 4000);
    report.isReady = true;
    controller.heartbeatReceived(report, [](const Result<Nothing> &) {});
    loop.runFor(Milliseconds(500));

    WorkflowSpec spec;
    spec.id = StoreFixture::job;
    spec.queue = "q";
    spec.steps = {StoreFixture::step(1)};
    fleet.announce(spec);
    controller.submit(spec, [&](const Result<CommandOutcome> &) { log.isHolding = true; });
    loop.runFor(Milliseconds(50));
    REQUIRE(log.withheldOutcomes.size() == 1); // the placement
    const TaskAddress task{{StoreFixture::job, 0, 0}, 0};
    const EndRuns later{{{task, 1, RunOutcome::Succeeded, "", 1}}, loop.nowMs()};
    machine.apply(99, encode(CommandBatch{later}));
    log.release();
    loop.runFor(Milliseconds(500));
    CHECK(fleet.starts == 0);
    CHECK(fleet.violation.empty());
}
