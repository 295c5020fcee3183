#pragma once

#include "workflows/targetport.h"
#include "workflows/virtualloop.h"
#include "workflows/workflowspec.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// What may go wrong between a controller and the targets, and how often.
struct FleetFaults
{
    double lostRequest = 0.0;
    double lostAnswer = 0.0;
    double lateOrder = 0.0; ///< no answer, and carried out 2 to 12 s later
    double failedTask = 0.0;
    /// Starts that find no connection on the controller's side, so that nothing is sent.
    double unsentStart = 0.0;
};

/// Targets that keep the contract of leases, fences and run numbers, on a virtual clock. They check
/// what a controller must never do, and remember the first breach.
class SimulatedFleet : public TargetPort
{
public:
    SimulatedFleet(VirtualLoop &loop, std::uint64_t seed);

    /// Adds a target, or a later life of one that was there.
    TargetIdentity add(const std::string &name, std::int64_t milliCores,
                       const std::string &failureDomain = {});
    /// The target has another room from now on. One that has shrunk binds a while later.
    void resize(const std::string &name, std::int64_t milliCores);
    void crash(const std::string &name);
    /// Another target, \a successor, has started at the address of the one called \a name.
    void replace(const std::string &name, const std::string &successor);
    /// The most targets that have crashed while they ran one task of the workflow.
    std::size_t crashesUnder(WorkflowId id) const;
    /// No request reaches it; or, one way, only the answers are lost.
    void cut(const std::string &name, bool isOneWay);
    void heal(const std::string &name);
    bool isUp(const std::string &name) const { return this->targets.at(name).isUp; }
    std::vector<std::string> names() const;

    /// It was acknowledged that nothing more is started in \a failureDomain, or that it is open.
    void evacuated(const std::string &failureDomain);
    void opened(const std::string &failureDomain);
    /// Starts in a domain after it was evacuated, whenever; those that were late on their way too.
    std::size_t startsInEvacuated = 0;

    /// Tells the targets of a workflow, so that they know its steps.
    void announce(const WorkflowSpec &spec);

    void start(const TargetIdentity &target, const StartOrder &order, Instant deadline,
               Done<OrderAnswer> done) override;
    void stop(const TargetIdentity &target, const StopOrder &order, Instant deadline,
              Done<OrderAnswer> done) override;
    void hold(const TargetIdentity &target, const HoldOrder &order, Instant deadline,
              Done<HoldAnswer> done) override;

    FleetFaults faults;
    std::string failing; ///< a target that fails all its tasks; empty: none
    std::string hanging; ///< a target whose tasks stand still, for good; empty: none
    std::set<TaskAddress> crashing; ///< tasks that crash each target that starts them
    std::function<void(const std::string &name)> targetCrashed; ///< a target, by one of these
    std::string violation; ///< the first; empty: none
    std::size_t starts = 0;
    std::size_t holds = 0; ///< questions that were sent
    std::size_t failures = 0;

private:
    struct Running
    {
        RunNumber run = 0;
        std::uint64_t serial = 0; ///< tells this run from a later one of the same number
        std::string checkpoint;
        Instant startedAt{};
        Milliseconds duration{0}; ///< zero: it lists no progress
    };
    struct Target
    {
        TargetIdentity identity;
        bool isUp = true;
        bool isCut = false;
        bool isCutOneWay = false;
        std::int64_t roomBefore = 0; ///< which starts may still count on until shrinkBindsAt
        Instant shrinkBindsAt{};
        Instant bornAt{};
        std::uint64_t fence = 0;
        std::int64_t leaseUntilMs = 0;
        std::map<TaskAddress, Running> running;
        std::map<TaskAddress, RunNumber> settled; ///< highest run stopped or ended
        std::vector<ListedEnd> ends;
        std::uint64_t lastEnd = 0;
        /// Ends up to this number were not taken note of before the lease ran out: whoever waited
        /// for them has started anew, and rightly.
        std::uint64_t lapsedEnds = 0;
    };

    template<typename Answer>
    void carry(const std::string &name, bool mayBeLate, Instant deadline, Done<Answer> done,
               std::function<Answer(Target &)> act);
    bool chance(double probability);
    Milliseconds between(int from, int to);
    std::int64_t clockOf(const Target &target) const;
    void renew(Target &target, std::int64_t leaseUntilMs);
    void expireLease(Target &target);
    void endRun(Target &target, const TaskAddress &task, RunOutcome outcome);
    void breakGang(const TaskAddress &task, RunNumber run);
    std::optional<int> percentOf(const Target &target, const Running &run) const;
    void finish(const std::string &name, const TaskAddress &task, std::uint64_t serial);
    void finishGang(const TaskAddress &member, RunNumber run);
    OrderAnswer begin(Target &target, const StartOrder &order, Instant sentAt);
    void checkStart(const Target &target, const StartOrder &order);
    void checkCrashes(const StartOrder &order);
    void crashSoon(const std::string &name, const TaskAddress &task, std::uint64_t serial);
    void checkDomain(const Target &target, const StartOrder &order, Instant sentAt);
    std::int64_t usedOf(const Target &target) const;
    const StepSpec &specOf(const TaskAddress &task) const;
    void report(const std::string &what);

    VirtualLoop &loop;
    std::mt19937_64 random;
    std::map<std::string, Target> targets;
    std::map<WorkflowId, WorkflowSpec> specs;
    std::map<std::string, Instant> evacuatedAt; ///< by failure domain
    std::set<TaskAddress> ended; ///< that have ended with success, whether anybody knows or not
    std::set<TaskAddress> noted; ///< whose success a controller has taken note of
    std::uint64_t serials = 0;
    std::map<TaskAddress, std::size_t> crashes; ///< of targets, by the task that crashed them
    std::map<TaskAddress, std::size_t> crashedUnder; ///< targets, by the tasks that they ran
    std::map<TaskAddress, std::size_t> startsBeyond; ///< after the crashes that are tolerated
};

} // namespace guavavalve::workflows
