#include <catch2/catch.hpp>

#include "workflows/simulation.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

/// An admission service with instances for every query at the loads below.
class ManyQueriers : public AdmitAllPort
{
public:
    using AdmitAllPort::AdmitAllPort;
    std::size_t querierCount() const override { return 200; }
};

/// A cell whose callers "steady" and "flood" hand in urgent tasks of 0.2 to 3 s and come back after
/// their Retry-After. "steady" takes less than half of the cell.
class CallersCell
{
public:
    explicit CallersCell(bool hasIntake, std::uint32_t queryMs = 0)
        : simulation(1, 40, 8000)
    {
        spdlog::set_level(spdlog::level::off);
        QueuePolicy queue;
        queue.service = "s";
        queue.stretch = 1.5;
        queue.slackMs = 1000;
        queue.maxFailures = 50;
        queue.needsAdmission = queryMs > 0;
        queue.queryBaseMs = queryMs;
        queue.admissionValidMs = 1500;
        if (queue.needsAdmission)
            queue.slackMs = 0;
        this->simulation.policy.queues["urgent"] = queue;
        this->simulation.storeTime = Milliseconds(8);
        if (!hasIntake) {
            // Shares alone protect the other accounts too, in the order of the plans.
            this->simulation.mechanisms.disable(Mechanism::Intake);
            this->simulation.mechanisms.disable(Mechanism::Shares);
        }
        this->simulation.admissionsOfController = &this->queriers;
        this->simulation.changeController(Milliseconds(0));
        this->simulation.controller().storeDocument(2, "policy",
                                                    [](const Result<CommandOutcome> &) {});
        this->simulation.runFor(Milliseconds(500));
    }

    void play(Milliseconds span, unsigned floodFactor)
    {
        for (Milliseconds played{0}; played < span; played += interval) {
            for (unsigned i = 0; i < jobsPerInterval; ++i) {
                for (unsigned k = 0; k < floodFactor; ++k)
                    this->handIn("flood");
                this->handIn("steady");
            }
            this->simulation.runFor(interval);
        }
    }

    /// The part of the jobs of \a account, first handed in since \a fromMs, that ended in time to
    /// be of use.
    double servedShare(const std::string &account, std::int64_t fromMs, std::int64_t toMs) const
    {
        std::size_t all = 0;
        std::size_t served = 0;
        for (const auto &[id, first] : this->firstHandedIn) {
            if (first.first != account || first.second < fromMs || first.second >= toMs)
                continue;
            ++all;
            this->simulation.machine.read(
                [&, number = id, atMs = first.second](const WorkflowStore &store) {
                    const Workflow *workflow = store.find(number);
                    served += workflow != nullptr && workflow->isOver()
                            && workflow->endedAtMs < atMs + usefulMs
                        ? 1
                        : 0;
                });
        }
        return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(1, all));
    }

    std::int64_t nowMs() const { return this->simulation.loop.nowMs(); }

    Simulation simulation;
    ManyQueriers queriers{this->simulation.loop};
    std::size_t refusals = 0;

private:
    static constexpr Milliseconds interval{100};
    static constexpr unsigned jobsPerInterval = 6;
    static constexpr std::int64_t usefulMs = 6000; ///< twice the longest run time
    static constexpr unsigned maxTries = 4;

    void handIn(const std::string &account)
    {
        WorkflowSpec spec;
        spec.id = static_cast<WorkflowId>(++this->lastId);
        spec.queue = "urgent";
        spec.account = account;
        spec.steps = {StoreFixture::step(1)};
        spec.steps[0].estimatedMs = 1600;
        this->firstHandedIn[spec.id] = {account, this->nowMs()};
        this->attempt(spec, maxTries);
    }

    void attempt(const WorkflowSpec &spec, unsigned triesLeft)
    {
        const IntakeDecision decision = this->simulation.request(spec, this->simulation.stamp());
        if (decision.verdict == IntakeVerdict::Accept)
            return;
        ++this->refusals;
        if (triesLeft > 1) {
            this->simulation.loop.runAfter(decision.retryAfter, [this, spec, triesLeft] {
                this->attempt(spec, triesLeft - 1);
            });
        }
    }

    std::uint64_t lastId = 0;
    std::map<WorkflowId, std::pair<std::string, std::int64_t>> firstHandedIn;
};

} // namespace

// Load: one account hands in five times what another does, three times what the cell can serve.
// Guards against a flood of one account that all accounts pay for.
TEST_CASE("callers within their share are served during a flood of another account", "[overload]")
{
    const bool hasNewController = GENERATE(false, true);
    CAPTURE(hasNewController);
    CallersCell cell(true);
    cell.play(Milliseconds(4000), 0);
    const std::int64_t floodAtMs = cell.nowMs();
    if (hasNewController)
        cell.simulation.changeController(Milliseconds(100));
    cell.play(Milliseconds(8000), 5);
    const std::int64_t endMs = cell.nowMs();
    cell.play(Milliseconds(12000), 0);
    cell.simulation.runFor(Milliseconds(6000));
    CHECK(cell.servedShare("steady", 0, floodAtMs) > 0.95);
    CHECK(cell.servedShare("steady", floodAtMs + 3000, endMs) > 0.8);
    CHECK(cell.servedShare("steady", endMs + 5000, endMs + 12000)
          > cell.servedShare("steady", 0, floodAtMs) - 0.02);
    CHECK(cell.refusals > 0);
    CHECK(cell.simulation.fleet.violation.empty());
}

// Guards against an intake that refuses while the cell has room.
TEST_CASE("callers are not refused at the usual load, nor right after a change of controller",
          "[overload]")
{
    CallersCell cell(true);
    cell.play(Milliseconds(4000), 0);
    cell.simulation.changeController(Milliseconds(100));
    cell.play(Milliseconds(4000), 0);
    CHECK(cell.refusals == 0);
}

// Guards against the time of ordinary queries that passes for overload.
TEST_CASE("callers are not refused for the time that queries take in an idle cell", "[overload]")
{
    CallersCell cell(true, 450);
    cell.play(Milliseconds(8000), 0);
    CHECK(cell.refusals == 0);
}

// The load test above must fail without the intake.
TEST_CASE("without the intake a flood of one account is every account's loss", "[overload]")
{
    CallersCell cell(false);
    cell.play(Milliseconds(4000), 0);
    const std::int64_t floodAtMs = cell.nowMs();
    cell.play(Milliseconds(8000), 5);
    const std::int64_t endMs = cell.nowMs();
    cell.simulation.runFor(Milliseconds(6000));
    CHECK(cell.refusals == 0);
    CHECK(cell.servedShare("steady", floodAtMs + 3000, endMs) < 0.8);
}
