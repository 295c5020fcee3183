#pragma once

#include "workflows/model/workflowspec.h"
#include "workflows/sessions/targetport.h"
#include "workflows/virtualloop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// Probabilities of faults between a controller and its targets.
struct FleetFaults
{
    double lostRequest = 0.0;
    double lostAnswer = 0.0;
    double lateOrder = 0.0; ///< no answer, and executed 2 to 12 s later
    double failedTask = 0.0;
    /// Starts for which the controller has no free connection, so that nothing is sent.
    double unsentStart = 0.0;
};

/// Targets that implement the contract of leases, fencing and run numbers, on a virtual clock. They
/// check the invariants that a controller must keep, and record the first violation.
class SimulatedFleet : public TargetPort
{
public:
    SimulatedFleet(VirtualLoop &loop, std::uint64_t seed);

    /// Adds a target, or a later incarnation of an existing one.
    TargetIdentity add(const std::string &name, std::int64_t milliCores,
                       const std::string &failureDomain = {});
    /// Changes the target's capacity. Reductions are enforced only after a grace period.
    void resize(const std::string &name, std::int64_t milliCores);
    void crash(const std::string &name);
    /// Starts another target, \a successor, at the address of the target \a name.
    void replace(const std::string &name, const std::string &successor);
    /// The largest number of targets that crashed while they ran the same task of the workflow.
    std::size_t crashesUnder(WorkflowId id) const;
    /// Disconnects the target: no request reaches it or, one way, only its answers are lost.
    void cut(const std::string &name, bool isOneWay);
    void heal(const std::string &name);
    /// Delivers the starts that were held up, whatever incarnation they reach.
    void deliverHeldUp();
    bool isUp(const std::string &name) const { return this->targets.at(name).isUp; }
    std::vector<std::string> names() const;

    /// The controller has acknowledged the evacuation of \a failureDomain, or its end.
    void evacuated(const std::string &failureDomain);
    void reopened(const std::string &failureDomain);
    /// Number of starts in a domain after its evacuation, including orders that were delayed on
    /// their way.
    std::size_t startsInEvacuated = 0;

    /// Makes a workflow's steps known to the targets.
    void announce(const WorkflowSpec &spec);

    void start(const TargetIdentity &target, const StartOrder &order, Instant deadline,
               Done<OrderAnswer> done) override;
    void stop(const TargetIdentity &target, const StopOrder &order, Instant deadline,
              Done<OrderAnswer> done) override;
    void hold(const TargetIdentity &target, const HoldOrder &order, Instant deadline,
              Done<HoldAnswer> done) override;

    FleetFaults faults;
    Milliseconds longestLease{6000}; ///< that a target accepts
    bool holdsUpStarts = false; ///< starts get no answer until they are delivered
    std::vector<OrderReply> heldUpReplies; ///< to the starts that were held up
    std::string failing; ///< name of a target that fails all its tasks; empty: none
    std::string hanging; ///< name of a target whose tasks never progress; empty: none
    /// Run time on a target relative to the others, by name; 1 for those that are not listed.
    std::map<std::string, double> slowness;
    /// Run time of each task elsewhere; empty: chosen at random.
    std::function<Milliseconds(const TaskAddress &)> workOf;
    std::set<TaskAddress> crashing; ///< tasks that crash every target that starts them
    std::function<void(const std::string &name)> targetCrashed; ///< called after such a crash
    std::string violation; ///< the first one; empty: none
    std::size_t starts = 0;
    std::size_t holds = 0; ///< number of hold orders sent, which poll the targets
    std::set<std::string> polled; ///< names of the targets polled; may be cleared
    std::size_t failures = 0;

private:
    struct Running
    {
        RunNumber run = 0;
        std::uint64_t serial = 0; ///< distinguishes this run from a later one with the same number
        std::string checkpoint;
        Instant startedAt{};
        Milliseconds duration{0}; ///< zero: no progress is listed
    };
    struct Target
    {
        TargetIdentity identity;
        bool isUp = true;
        bool isReplaced = false; ///< another target answers at its address
        bool isCut = false;
        bool isCutOneWay = false;
        std::int64_t previousCapacity = 0; ///< still granted to starts until shrinkEnforcedAt
        Instant shrinkEnforcedAt{};
        Instant startedAt{};
        std::uint64_t fence = 0;
        std::int64_t leaseUntilMs = 0;
        std::map<TaskAddress, Running> running;
        std::map<TaskAddress, RunNumber> settled; ///< highest run stopped or ended
        std::vector<ListedEnd> ends;
        std::uint64_t lastEnd = 0;
        /// Ends up to this number had not been acknowledged when the lease expired. A controller
        /// may start these tasks again.
        std::uint64_t lapsedEnds = 0;
    };

    template<typename Answer>
    void deliver(const std::string &name, bool mayBeLate, Instant deadline, Done<Answer> done,
                 std::function<Answer(Target &)> act);
    bool chance(double probability);
    Milliseconds randomDelay(int from, int to);
    std::int64_t clockOf(const Target &target) const;
    void renew(Target &target, std::int64_t leaseUntilMs);
    void expireLease(Target &target);
    void endRun(Target &target, const TaskAddress &task, RunOutcome outcome);
    void endGang(const TaskAddress &task, RunNumber run);
    Milliseconds durationOn(const std::string &name, const TaskAddress &task);
    std::optional<int> percentOf(const Target &target, const Running &run) const;
    void finish(const std::string &name, const TaskAddress &task, std::uint64_t serial);
    void finishGang(const TaskAddress &member, RunNumber run);
    OrderAnswer startRun(Target &target, const StartOrder &order, Instant sentAt);
    void checkStart(const Target &target, const StartOrder &order);
    void checkCrashes(const StartOrder &order);
    void crashSoon(const std::string &name, const TaskAddress &task, std::uint64_t serial);
    void checkDomain(const Target &target, const StartOrder &order, Instant sentAt);
    std::int64_t usedOf(const Target &target) const;
    const StepSpec &specOf(const TaskAddress &task) const;
    void report(const std::string &what);

    struct HeldUpStart
    {
        std::string target;
        StartOrder order;
        Instant sentAt{};
    };

    VirtualLoop &loop;
    std::mt19937_64 random;
    std::vector<HeldUpStart> heldUp;
    std::map<std::string, Target> targets;
    std::map<WorkflowId, WorkflowSpec> specs;
    std::map<std::string, Instant> evacuatedAt; ///< by failure domain
    std::set<TaskAddress> ended; ///< succeeded, whether or not a controller knows
    std::set<TaskAddress> acknowledged; ///< whose success a controller has acknowledged
    std::uint64_t lastSerial = 0;
    std::map<TaskAddress, std::size_t> crashes; ///< number of targets crashed by each task
    std::map<TaskAddress, std::size_t>
        crashedUnder; ///< targets that crashed while running each task
    std::map<TaskAddress, std::size_t> furtherStarts; ///< after the tolerated number of crashes
};

} // namespace guavavalve::workflows
