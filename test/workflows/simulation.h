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
class GenerousAdmissions : public AdmissionPort
{
public:
    explicit GenerousAdmissions(VirtualLoop &loop)
        : loop(loop)
    {}
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

/// Controllers, one after the other, over one book and one fleet, on a virtual clock.
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed, unsigned targets = 4, std::int64_t milliCores = 4000);
    ~Simulation();

    /// Another controller takes over; the one before goes on for \a stale, without its log.
    void changeController(Milliseconds stale);
    /// A target's heartbeat, as it would come every 1.5 s.
    void beat(const std::string &name);
    void drain(const std::string &name);
    void restart(const std::string &name);
    /// The target has left for good.
    void leave(const std::string &name);

    void submit(WorkflowId id, std::vector<StepSpec> steps);
    void runFor(Milliseconds span);
    WorkflowState stateOf(WorkflowId id) const;
    bool isAllOver() const;

    VirtualLoop loop;
    Metrics metrics;
    SimulatedFleet fleet;
    BookMachine machine;
    std::set<std::string> draining;

    Controller &controller() { return *this->reigns.back()->controller; }

private:
    struct Reign
    {
        InMemoryLog log;
        std::unique_ptr<Controller> controller;

        explicit Reign(BookMachine &machine)
            : log(machine)
        {}
    };

    std::map<std::string, TargetIdentity> identities;
    std::int64_t milliCores;
    GenerousAdmissions admissions;
    std::vector<std::unique_ptr<Reign>> reigns;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
};

} // namespace guavavalve::workflows
