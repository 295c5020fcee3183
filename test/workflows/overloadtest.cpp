#include <catch2/catch.hpp>

#include "workflows/simulation.h"
#include "workflows/slowadmissionservice.h"
#include "workflows/storefixture.h"

#include <spdlog/spdlog.h>

#include <map>
#include <string>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr unsigned targets = 40;
constexpr std::int64_t milliCoresOfEach = 8000;
/// The controller's time for a query: that of a loaded leader with a fraction of a core.
constexpr Microseconds queryCost{1000};

/// Callers' load on a cell of 40 targets: urgent tasks one by one and batch steps of ten tasks.
/// Tasks run for 0.2 to 3 s, and the usual load takes three quarters of the cell.
class LoadedCell
{
public:
    explicit LoadedCell(std::uint64_t seed)
        : simulation(seed, targets, milliCoresOfEach)
        , service(this->simulation.loop, 8, queryCost)
    {
        spdlog::set_level(spdlog::level::off);
        this->addQueue("urgent", 0, 1.5, 10.0, 0.1);
        this->addQueue("batch", 2, 4.0, 100.0, 1.5);
        this->simulation.storeTime = Milliseconds(8);
        this->simulation.admissionsOfController = &this->service;
        this->simulation.changeController(Milliseconds(0));
        this->simulation.controller().storeDocument(2, "policy",
                                                    [](const Result<CommandOutcome> &) {});
        this->simulation.runFor(Milliseconds(500));
    }

    /// Plays \a factor times the usual load.
    void play(Milliseconds span, unsigned factor)
    {
        for (Milliseconds played{0}; played < span; played += submitInterval) {
            for (unsigned i = 0; i < 4 * factor; ++i)
                this->submit("urgent", 1);
            {
                for (unsigned i = 0; i < factor; ++i)
                    this->submit("batch", 10);
            }
            this->simulation.runFor(submitInterval);
        }
    }

    /// The part of the urgent workflows submitted between two times since begin() that were over in
    /// time to be of use.
    double servedShare(Milliseconds from, Milliseconds to) const
    {
        std::size_t submitted = 0;
        std::size_t served = 0;
        for (const auto &[id, atMs] : this->urgent) {
            const std::int64_t sinceStart = atMs - this->startedAtMs;
            if (sinceStart < from.count() || sinceStart >= to.count())
                continue;
            ++submitted;
            this->simulation.machine.read(
                [&, number = id, began = atMs](const WorkflowStore &store) {
                    const Workflow *workflow = store.find(number);
                    served += workflow != nullptr && workflow->isOver()
                            && workflow->endedAtMs < began + usefulMs
                        ? 1
                        : 0;
                });
        }
        return submitted == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(submitted);
    }

    void begin() { this->startedAtMs = this->simulation.loop.nowMs(); }

    Simulation simulation;
    SlowAdmissionService service;

private:
    static constexpr Milliseconds submitInterval{100};
    /// Twice the longest run time: what a caller of urgent work waits for.
    static constexpr std::int64_t usefulMs = 6000;

    void addQueue(const std::string &name, std::uint32_t priority, double stretch, double baseMs,
                  double msPerTarget)
    {
        QueuePolicy queue;
        queue.service = "s";
        queue.priority = priority;
        queue.stretch = stretch;
        queue.slackMs = 500;
        queue.maxFailures = 50;
        queue.needsAdmission = true;
        queue.admissionValidMs = 2000;
        queue.queryBaseMs = baseMs;
        queue.queryMsPerTarget = msPerTarget;
        this->simulation.policy.queues[name] = queue;
    }

    void submit(const std::string &queue, std::uint16_t tasks)
    {
        StepSpec step = StoreFixture::step(tasks);
        step.estimatedMs = 1600;
        const auto id = static_cast<WorkflowId>(++this->lastId);
        if (queue == "urgent")
            this->urgent[id] = this->simulation.loop.nowMs();
        this->simulation.submit(id, {step}, queue);
    }

    std::uint64_t lastId = 0;
    std::int64_t startedAtMs = 0;
    std::map<WorkflowId, std::int64_t> urgent; ///< when each was submitted
};

} // namespace

// Guards against overload that never ends: queries that no instance could send were prepared,
// discarded and repeated, and kept the controller busy long after the load was as usual again.
TEST_CASE("a cell serves as before soon after three times the usual load", "[overload]")
{
    const bool hasNewController = GENERATE(false, true);
    CAPTURE(hasNewController);
    LoadedCell cell(1);
    cell.begin();
    cell.play(Milliseconds(6000), 1);
    if (hasNewController)
        cell.simulation.changeController(Milliseconds(100));
    cell.play(Milliseconds(6000), 3);
    cell.play(Milliseconds(14000), 1);
    cell.simulation.runFor(Milliseconds(6000));
    const double before = cell.servedShare(Milliseconds(0), Milliseconds(6000));
    const double after = cell.servedShare(Milliseconds(17000), Milliseconds(26000));
    CHECK(before > 0.9);
    CHECK(after >= before - 0.02);
    CHECK(cell.simulation.fleet.violation.empty());
}
