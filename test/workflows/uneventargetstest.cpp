#include <catch2/catch.hpp>

#include "core/mechanism.h"
#include "workflows/simulation.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr unsigned targets = 40;
constexpr std::int64_t milliCoresOfEach = 8000;
constexpr std::int64_t urgentMs = 600;
constexpr std::int64_t batchMs = 2000;

/// A cell in which every fourth target takes half the time of the others. Batch steps of eight
/// tasks would take four fifths of the others, and urgent tasks half of the fast ones. Callers'
/// estimates are off by up to a factor of 1.6.
class UnevenCell
{
public:
    explicit UnevenCell(std::uint64_t seed, MechanismSet mechanisms = {})
        : simulation(seed, targets, milliCoresOfEach)
        , random(seed)
    {
        spdlog::set_level(spdlog::level::off);
        for (const std::string &name : this->simulation.fleet.names())
            this->simulation.fleet.slowness[name] = isFast(name) ? 0.6 : 1.2;
        this->simulation.fleet.workOf = [this](const TaskAddress &task) {
            std::uniform_real_distribution<> ofTask(0.85, 1.15);
            const double work = static_cast<double>(this->workMs.at(task.step.workflow));
            return Milliseconds(static_cast<std::int64_t>(ofTask(this->random) * work));
        };
        this->addQueue("urgent", 0, 100);
        this->addQueue("batch", 2, 3000);
        this->simulation.mechanisms = mechanisms;
        this->simulation.changeController(Milliseconds(0));
        this->simulation.controller().storeDocument(2, "policy",
                                                    [](const Result<CommandOutcome> &) {});
        this->simulation.runFor(Milliseconds(500));
    }

    static bool isFast(const std::string &name) { return std::stoul(name.substr(1)) % 4 == 0; }

    void play(Milliseconds span)
    {
        for (Milliseconds played{0}; played < span; played += submitInterval) {
            for (int i = 0; i < 12; ++i)
                this->submit("urgent", 1, urgentMs);
            this->submit("batch", 8, batchMs);
            this->simulation.runFor(submitInterval);
        }
    }

    /// The part of the urgent workflows, of those submitted within the last \a span that are over,
    /// that took no longer than the same work would on a usual target.
    double inTimeShare(Milliseconds span) const
    {
        const std::int64_t since = this->simulation.loop.nowMs() - span.count();
        double over = 0.0;
        double inTime = 0.0;
        for (const auto &[id, atMs] : this->urgent) {
            if (atMs < since)
                continue;
            this->simulation.machine.read(
                [&, number = id, began = atMs](const WorkflowStore &store) {
                    const Workflow *workflow = store.find(number);
                    if (workflow == nullptr || !workflow->isOver())
                        return;
                    over += 1.0;
                    const std::int64_t allowed = this->workMs.at(number) + overheadMs;
                    inTime += workflow->endedAtMs <= began + allowed ? 1.0 : 0.0;
                });
        }
        return over == 0.0 ? 0.0 : inTime / over;
    }

    Simulation simulation;

private:
    static constexpr Milliseconds submitInterval{100};
    static constexpr std::int64_t overheadMs = 60;

    void addQueue(const std::string &name, std::uint32_t priority, std::int64_t slackMs)
    {
        QueuePolicy queue;
        queue.service = "s";
        queue.priority = priority;
        queue.stretch = priority == 0 ? 1.5 : 4.0;
        queue.slackMs = slackMs;
        queue.maxFailures = 50;
        this->simulation.policy.queues[name] = queue;
    }

    void submit(const std::string &queue, std::uint16_t tasks, std::int64_t estimatedMs)
    {
        std::uniform_real_distribution<> error(-0.5, 0.5);
        StepSpec step = StoreFixture::step(tasks);
        step.estimatedMs = static_cast<std::uint32_t>(estimatedMs);
        const auto id = static_cast<WorkflowId>(++this->lastId);
        this->workMs[id] = static_cast<std::int64_t>(static_cast<double>(estimatedMs)
                                                     * std::exp(error(this->random)));
        if (queue == "urgent")
            this->urgent[id] = this->simulation.loop.nowMs();
        this->simulation.submit(id, {step}, queue);
    }

    std::mt19937_64 random;
    std::uint64_t lastId = 0;
    std::map<WorkflowId, std::int64_t> workMs; ///< in each task, on a usual target
    std::map<WorkflowId, std::int64_t> urgent; ///< when each was submitted
};

} // namespace

// Guards against urgent work that is late because batch work occupies the fast targets.
TEST_CASE("urgent tasks are in time although most targets are slow", "[speeds]")
{
    UnevenCell cell(1);
    cell.play(Milliseconds(10000));
    CHECK(cell.inTimeShare(Milliseconds(5000)) > 0.99);
    CHECK(cell.simulation.fleet.violation.empty());
}

// Guards against a new controller that has to learn the speeds of all targets before urgent work is
// in time again.
TEST_CASE("a new controller knows the speeds of targets", "[speeds]")
{
    UnevenCell cell(2);
    cell.play(Milliseconds(10000));
    cell.simulation.changeController(Milliseconds(100));
    cell.simulation.runFor(Milliseconds(2000));
    cell.play(Milliseconds(3000));
    CHECK(cell.inTimeShare(Milliseconds(3000)) > 0.95);
}

// Guards against a fast target that turned slow and still gets the urgent tasks.
TEST_CASE("urgent tasks leave targets that have turned slow", "[speeds]")
{
    UnevenCell cell(3);
    cell.play(Milliseconds(10000));
    for (const char *name : {"t4", "t8", "t12"})
        cell.simulation.fleet.slowness[name] = 2.0;
    cell.play(Milliseconds(9000));
    CHECK(cell.inTimeShare(Milliseconds(4000)) > 0.95);
}

TEST_CASE("speeds that are disabled are not stored", "[speeds]")
{
    MechanismSet mechanisms;
    mechanisms.disable(Mechanism::Speeds);
    UnevenCell cell(4, mechanisms);
    cell.play(Milliseconds(5000));
    CHECK(cell.simulation.machine.read(
        [](const WorkflowStore &store) { return store.speeds().empty(); }));
    UnevenCell enabled(4);
    enabled.play(Milliseconds(5000));
    CHECK(enabled.simulation.machine.read(
        [](const WorkflowStore &store) { return store.speeds().size() == targets; }));
}
