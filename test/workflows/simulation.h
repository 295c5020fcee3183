#pragma once

#include "replicas/inmemorylog.h"
#include "runtime/metrics.h"
#include "workflows/controller.h"
#include "workflows/simulatedfleet.h"

#include <memory>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// Admits every target, with a ticket.
class AdmitAllPort : public AdmissionPort
{
public:
    explicit AdmitAllPort(VirtualLoop &loop)
        : loop(loop)
    {}
    std::size_t querierCount() const override { return 8; }
    void ask(const StepAddress &, const std::vector<std::string> &targets, Milliseconds expected,
             Instant, Done<Admitted> done) override
    {
        Admitted all;
        for (const std::string &name : targets)
            all.emplace_back(name, "ticket");
        this->loop.runAfter(expected, [done = std::move(done), all] { done(all); });
    }

private:
    VirtualLoop &loop;
};

/// A log of one replica that takes a while to tell that a command is stored and applied.
class SlowLog : public InMemoryLog
{
public:
    SlowLog(WorkflowStoreMachine &machine, VirtualLoop &loop, Milliseconds storeTime)
        : InMemoryLog(machine)
        , loop(loop)
        , storeTime(storeTime)
    {}
    void propose(std::string command, Done<std::string> done) override
    {
        if (this->storeTime.count() == 0) {
            InMemoryLog::propose(std::move(command), std::move(done));
            return;
        }
        InMemoryLog::propose(
            std::move(command), [this, done = std::move(done)](const Result<std::string> &outcome) {
                this->loop.runAfter(this->storeTime, [done, outcome] { done(outcome); });
            });
    }

private:
    VirtualLoop &loop;
    Milliseconds storeTime;
};

/// Controllers, one after the other, over one book and one fleet, on a virtual clock.
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed, unsigned targets = 4, std::int64_t milliCores = 4000);
    ~Simulation();

    /// Another controller takes over; the one before goes on for \a stale, without its log.
    void changeController(Milliseconds stale);
    /// A target's heartbeat, as it would come every 1.5 s.
    void heartbeat(const std::string &name);
    void drain(const std::string &name);
    void restart(const std::string &name);
    /// The target has another room from now on, as its heartbeats say.
    void resize(const std::string &name, std::int64_t milliCores);
    /// The target's process is gone, and another one has started at its address under a new name.
    void replace(const std::string &name);
    /// The target has left for good.
    void leave(const std::string &name);

    /// Asks for an evacuation until it is acknowledged, or takes it back.
    void evacuate(const std::string &failureDomain, bool isEvacuated);
    /// Of the target called "tN": they alternate between "d0" and "d1".
    static std::string domainOf(const std::string &name);

    void submit(WorkflowId id, std::vector<StepSpec> steps);
    void runFor(Milliseconds span);
    /// False if it was handed in to a controller that had lost its lead.
    bool isAccepted(WorkflowId id) const;
    WorkflowState stateOf(WorkflowId id) const;
    bool isAllOver() const;

    VirtualLoop loop;
    Milliseconds storeTime{0}; ///< of the next controller's log
    std::int64_t calendarStepMs = 1; ///< how finely the calendar is read
    bool renamesRestarted = false; ///< targets that crashed come back under new names
    /// The port that the next controller sends its orders through; not set: the fleet's own.
    std::function<TargetPort &()> portOfController;
    Metrics metrics;
    SimulatedFleet fleet;
    WorkflowStoreMachine machine;
    std::set<std::string> draining;

    Controller &controller() { return *this->reigns.back()->controller; }

private:
    struct Reign
    {
        SlowLog log;
        std::unique_ptr<Controller> controller;

        Reign(WorkflowStoreMachine &machine, VirtualLoop &loop, Milliseconds storeTime)
            : log(machine, loop, storeTime)
        {}
    };

    void rebirth(const std::string &name);

    std::map<std::string, TargetIdentity> identities;
    std::int64_t milliCores;
    AdmitAllPort admissions;
    std::vector<std::unique_ptr<Reign>> reigns;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
};

} // namespace guavavalve::workflows
