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
constexpr unsigned accounts = 20;
constexpr Microseconds queryCost{200};
constexpr Milliseconds floodFrom{6000};
constexpr Milliseconds floodUntil{14000};

/// What all accounts together usually send.
struct UsualLoad
{
    const char *queue; ///< whose workflows are looked at
    double urgentPerSecond; ///< workflows of one task
    double batchPerSecond; ///< workflows of ten tasks
    unsigned queriers; ///< instances that query the admission service
};

/// A cell of 20 client accounts. The first usually sends a quarter of the load, and five times that
/// during the flood; the others send equal parts of the rest.
class SharedCell
{
public:
    SharedCell(const UsualLoad &load, bool hasShares)
        : simulation(1, targets, milliCoresOfEach)
        , service(this->simulation.loop, load.queriers, queryCost)
        , load(load)
    {
        spdlog::set_level(spdlog::level::off);
        this->addQueue("urgent", 0, 1.5, 10.0, 0.1);
        this->addQueue("batch", 2, 4.0, 100.0, 1.5);
        for (unsigned i = 0; i < accounts; ++i)
            this->simulation.policy.accounts["a" + std::to_string(i)] = AccountPolicy{};
        if (!hasShares)
            this->simulation.mechanisms.disable(Mechanism::Shares);
        this->simulation.storeTime = Milliseconds(8);
        this->simulation.admissionsOfController = &this->service;
        this->simulation.changeController(Milliseconds(0));
        this->simulation.controller().storeDocument(2, "policy",
                                                    [](const Result<CommandOutcome> &) {});
        this->simulation.runFor(Milliseconds(500));
        this->startedAtMs = this->simulation.loop.nowMs();
    }

    void play(Milliseconds span, double factorOfFirst)
    {
        for (Milliseconds played{0}; played < span; played += submitInterval) {
            for (unsigned i = 0; i < accounts; ++i) {
                const double part = i == 0 ? 0.25 * factorOfFirst : 0.75 / (accounts - 1);
                const double seconds = std::chrono::duration<double>(submitInterval).count();
                this->submit(i, "urgent", 1, part * seconds * this->load.urgentPerSecond);
                this->submit(i, "batch", 10, part * seconds * this->load.batchPerSecond);
            }
            this->simulation.runFor(submitInterval);
        }
    }

    /// The part of the workflows that accounts other than the first submitted during the flood, to
    /// the queue of the load, and that were over in time.
    double servedShareOfOthers() const
    {
        std::size_t submitted = 0;
        std::size_t served = 0;
        for (const auto &[id, one] : this->sent) {
            const std::int64_t sinceStart = one.atMs - this->startedAtMs;
            if (one.account == 0 || one.queue != this->load.queue || sinceStart < floodFrom.count()
                || sinceStart >= floodUntil.count())
                continue;
            ++submitted;
            const std::int64_t limitMs =
                one.atMs + (one.queue == "urgent" ? usefulMs : usefulBatchMs);
            this->simulation.machine.read([&, number = id](const WorkflowStore &store) {
                const Workflow *workflow = store.find(number);
                served +=
                    workflow != nullptr && workflow->isOver() && workflow->endedAtMs < limitMs;
            });
        }
        return submitted == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(submitted);
    }

    Simulation simulation;
    SlowAdmissionService service;

private:
    struct Sent
    {
        unsigned account = 0;
        std::string queue;
        std::int64_t atMs = 0;
    };

    static constexpr Milliseconds submitInterval{100};
    /// What a caller of urgent work waits for: twice the longest run time.
    static constexpr std::int64_t usefulMs = 4500;
    /// The objective of batch work and as much again.
    static constexpr std::int64_t usefulBatchMs = 7000;

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

    /// Submits \a count workflows on average.
    void submit(unsigned account, const std::string &queue, std::uint16_t tasks, double count)
    {
        double &owed = this->owedCounts[{account, queue}];
        owed += count;
        const auto now = static_cast<unsigned>(owed);
        owed -= now;
        for (unsigned i = 0; i < now; ++i) {
            StepSpec step = StoreFixture::step(tasks);
            step.estimatedMs = 1600;
            const auto id = static_cast<WorkflowId>(++this->lastId);
            this->sent[id] = {account, queue, this->simulation.loop.nowMs()};
            this->simulation.submit(id, {step}, queue, "a" + std::to_string(account));
        }
    }

    UsualLoad load;
    std::uint64_t lastId = 0;
    std::int64_t startedAtMs = 0;
    std::map<WorkflowId, Sent> sent;
    std::map<std::pair<unsigned, std::string>, double> owedCounts;
};

/// The part of the others' workflows of the load's queue that are served in time.
double servedOfOthers(const UsualLoad &load, double floodFactor, bool hasShares,
                      bool hasNewController = false)
{
    SharedCell cell(load, hasShares);
    cell.play(floodFrom, 1.0);
    const Milliseconds half = (floodUntil - floodFrom) / 2;
    cell.play(half, floodFactor);
    if (hasNewController)
        cell.simulation.changeController(Milliseconds(100));
    cell.play(half, floodFactor);
    cell.play(Milliseconds(8000), 1.0);
    CHECK(cell.simulation.fleet.violation.empty());
    return cell.servedShareOfOthers();
}

constexpr UsualLoad urgentLoad{"urgent", 150.0, 2.0, 24};
constexpr UsualLoad batchLoad{"batch", 20.0, 15.0, 24};
constexpr UsualLoad queryLoad{"batch", 20.0, 8.0, 3}; // query time is short, not room
constexpr double flood = 5.0;
constexpr double tolerance = 0.05;

} // namespace

// Guards against a flood of one account that is everybody's loss.
TEST_CASE("a flood of one account leaves the others served as before", "[shares]")
{
    const UsualLoad load = GENERATE(urgentLoad, batchLoad, queryLoad);
    CAPTURE(load.queue, load.queriers);
    const double usual = servedOfOthers(load, 1.0, true);
    CHECK(servedOfOthers(load, flood, true) >= usual - tolerance);
    CHECK(servedOfOthers(load, flood, false) < usual - 4 * tolerance); // the load is a flood
}

// Guards against accounts that start anew with an unused share once there is a new controller.
TEST_CASE("a new controller keeps a flooding account to its share", "[shares]")
{
    const UsualLoad load = GENERATE(urgentLoad, batchLoad, queryLoad);
    CAPTURE(load.queue, load.queriers);
    const double usual = servedOfOthers(load, 1.0, true, true);
    CHECK(servedOfOthers(load, flood, true, true) >= usual - tolerance);
}
