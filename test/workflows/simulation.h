#pragma once

#include "replicas/inmemorylog.h"
#include "runtime/metrics.h"
#include "workflows/controller/controller.h"
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
    std::optional<InstanceId> reserve(Milliseconds queryTime) override
    {
        this->expected = queryTime;
        return InstanceId("querier");
    }
    void ask(const InstanceId &, const StepAddress &, const std::vector<std::string> &targets,
             Instant, Done<Admitted> done) override
    {
        Admitted all;
        for (const std::string &name : targets)
            all.emplace_back(name, "ticket");
        this->loop.runAfter(this->expected, [done = std::move(done), all] { done(all); });
    }

private:
    VirtualLoop &loop;
    Milliseconds expected{0}; ///< of the last reservation
};

/// A log of one replica that reports a command as stored and applied only after a delay.
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
        if (command.size() > maxCommandBytes) {
            done(failure(ErrorCode::InvalidArgument, "the command exceeds the maximum size"));
            return;
        }
        if (this->refusals > 0) {
            --this->refusals;
            done(failure(ErrorCode::Unavailable, "the disk is full"));
            return;
        }
        if (this->storeTime.count() == 0) {
            InMemoryLog::propose(std::move(command), std::move(done));
            return;
        }
        InMemoryLog::propose(
            std::move(command), [this, done = std::move(done)](const Result<std::string> &outcome) {
                this->loop.runAfter(this->storeTime, [done, outcome] { done(outcome); });
            });
    }

    unsigned refusals = 0; ///< of the next commands

private:
    static constexpr std::size_t maxCommandBytes = 4U << 20U; ///< as a replica's log
    VirtualLoop &loop;
    Milliseconds storeTime;
};

/// A succession of controllers of one store and one fleet, on a virtual clock.
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed, unsigned targets = 4, std::int64_t milliCores = 4000);
    ~Simulation();

    /// Another controller takes over. The previous one keeps running for \a overlap, but has lost
    /// its leadership of the log.
    void changeController(Milliseconds overlap);
    /// Delivers a target's heartbeat, which is normally sent every 1.5 s.
    void heartbeat(const std::string &name);
    void drain(const std::string &name);
    void restart(const std::string &name);
    /// Starts a later incarnation whose heartbeats are not delivered until it is announced.
    void restartUnheard(const std::string &name);
    void announce(const std::string &name);
    /// Changes the target's capacity, which its heartbeats report from now on.
    void resize(const std::string &name, std::int64_t milliCores);
    /// The target's process has ended, and another one starts at its address under a new name.
    void replace(const std::string &name);
    /// The target leaves permanently.
    void leave(const std::string &name);
    /// The target announces that it leaves. It continues until its process is ended.
    void announceEnd(const std::string &name);

    /// Requests or withdraws an evacuation, and repeats the request until it is acknowledged.
    void evacuate(const std::string &failureDomain, bool isEvacuated);
    /// The failure domain of target "tN": targets alternate between "d0" and "d1".
    static std::string domainOf(const std::string &name);

    void submit(WorkflowId id, std::vector<StepSpec> steps, const std::string &queue = "q",
                const std::string &account = "a");
    /// Submits the workflow if the controller's intake accepts it. \a stamp: of the call.
    IntakeDecision request(const WorkflowSpec &spec, const CallStamp &stamp);
    /// Of a call that is received now.
    CallStamp stamp() const
    {
        const std::int64_t nowUs = this->loop.now().time_since_epoch().count();
        return {this->term, nowUs, nowUs};
    }
    void runFor(Milliseconds span);
    /// False if the workflow was submitted to a controller that had lost its leadership.
    bool isAccepted(WorkflowId id) const;
    WorkflowState stateOf(WorkflowId id) const;
    bool isAllOver() const;

    VirtualLoop loop;
    SlowLog &log() { return this->terms.back()->log; }
    Milliseconds storeTime{0}; ///< commit delay of the next controller's log
    bool isPolicyReadable = true;
    std::int64_t calendarStepMs = 1; ///< resolution of the calendar clock
    bool renamesRestarted = false; ///< crashed targets return under new names
    /// The port through which the next controller sends its orders; empty: the fleet itself.
    std::function<TargetPort &()> portOfController;
    /// The admission service of the next controller; null: one that admits every target.
    AdmissionPort *admissionsOfController = nullptr;
    MechanismSet mechanisms; ///< of the next controller
    SessionLimits session; ///< of the next controller
    Policy policy; ///< read from every configuration document
    Metrics metrics;
    SimulatedFleet fleet;
    WorkflowStoreMachine machine{[this] { return this->loop.now(); }};
    std::set<std::string> draining;
    std::set<std::string> unheard; ///< targets whose heartbeats are not delivered

    Controller &controller() { return *this->terms.back()->controller; }

private:
    struct ControllerTerm
    {
        SlowLog log;
        std::unique_ptr<Controller> controller;

        ControllerTerm(WorkflowStoreMachine &machine, VirtualLoop &loop, Milliseconds storeTime)
            : log(machine, loop, storeTime)
        {}
    };

    void restartCrashed(const std::string &name);

    std::map<std::string, TargetIdentity> identities;
    std::int64_t milliCores;
    AdmitAllPort admissions;
    std::vector<std::unique_ptr<ControllerTerm>> terms;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
};

} // namespace guavavalve::workflows
