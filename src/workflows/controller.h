#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "replicas/replicatedlog.h"
#include "workflows/admissionport.h"
#include "workflows/incarnationend.h"
#include "workflows/planner.h"
#include "workflows/progressmonitor.h"
#include "workflows/targethealth.h"
#include "workflows/targetport.h"
#include "workflows/targetsession.h"
#include "workflows/waittimetracker.h"
#include "workflows/workflowmetrics.h"
#include "workflows/workflowstoremachine.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace guavavalve {
class Metrics;
}

namespace guavavalve::workflows {

struct ControllerOptions
{
    SessionLimits session;
    /// What a configuration document says about workflows.
    std::function<Result<Policy>(const std::string &document)> readPolicy;
    std::function<void(Microseconds delay, std::function<void()>)> runAfter; ///< on the loop
    std::function<void(std::function<void()>)> post; ///< onto the loop, from any thread
    std::function<std::int64_t()> calendarMs;
    Metrics *metrics = nullptr; ///< null: nothing is counted
    Clock clock = monotonicNow;
    Milliseconds tick{100}; ///< how often leases and times that come due are looked at
    Milliseconds retention{180000}; ///< how long a workflow that is over can be asked for
};

/// A target's report about itself.
struct TargetReport
{
    TargetIdentity identity;
    bool isReady = false; ///< false: it drains
    Milliseconds coldFor{0}; ///< how much longer it is slow after its start
    std::uint64_t sequence = 0; ///< grows within one life
};

/// Runs workflows while its replica leads: decides, has the decision stored, and acts.
///
/// One batch of commands is under way at a time, and a plan is made only between two batches, on
/// what is stored; so a plan never has to guess what becomes of the one before. Everything runs on
/// one loop.
class Controller
{
public:
    Controller(ControllerOptions options, ReplicatedLog &log, WorkflowStoreMachine &machine,
               TargetPort &targets, AdmissionPort &admissions);
    ~Controller();
    Controller(const Controller &) = delete;
    Controller &operator=(const Controller &) = delete;

    /// This replica leads in \a term and has applied everything before it; or no longer leads.
    void leadershipChanged(bool leads, std::uint64_t term);

    /// True while no other controller can have decided since: then the book is current.
    bool isCurrent() const;

    /// \errors those of ReplicatedLog::propose(), for each of these.
    void submit(WorkflowSpec spec, Done<CommandOutcome> done);
    void cancel(WorkflowId id, Done<CommandOutcome> done);
    void storeDocument(std::int64_t version, std::string text, Done<CommandOutcome> done);
    /// Nothing more is started on the targets of \a failureDomain, or it is open again. What runs
    /// there goes on. A repetition changes nothing; of contrary wishes the one stored last holds.
    void evacuate(const std::string &failureDomain, bool isEvacuated, Done<CommandOutcome> done);
    /// True if all targets known for \a queue take nothing new since their failure domains are
    /// evacuated.
    bool isFullyEvacuated(const std::string &queue) const;
    /// Waits until a quorum has confirmed that this controller still led when asked.
    void confirmLeadership(Done<Nothing> done);

    /// A heartbeat. \a done: it is known, and nothing new will be started on a draining target.
    void heartbeatReceived(const TargetReport &report, const Done<Nothing> &done);
    /// A target has said that its life is over.
    void targetLeft(const std::string &name, std::int64_t startedAtMs, const Done<Nothing> &done);

    const WorkflowStoreMachine &store() const { return this->machine; }
    const Policy &policy() const { return this->inForce; }
    /// Targets that new work may go to.
    std::size_t usableTargets() const;
    std::size_t knownTargets() const { return this->incarnations.size(); }
    /// How late the newest periodic action ran: what waits in the loop waits at least that long.
    Microseconds loopLag() const { return this->lag; }
    /// Workflows of \a queue that are not over and of which, as far as is known here, no task has
    /// begun on a target.
    std::size_t waitingIn(const std::string &queue) const;

private:
    struct Pending
    {
        Command command;
        Done<CommandOutcome> done;
    };
    /// Commands on their way through the log, without their content.
    struct Proposed
    {
        std::uint64_t term = 0;
        Instant at{};
        std::vector<Done<CommandOutcome>> done;
        std::vector<bool> isPlacement;
        std::vector<Done<Nothing>> barriers;
    };
    struct LifeState
    {
        std::shared_ptr<TargetSession> session;
        std::uint64_t sequence = 0; ///< of the newest report
        ProgressMonitor progress;
    };

    void add(Command command, Done<CommandOutcome> done);
    void flush();
    void flushNow();
    void planLater();
    void propose(std::vector<Pending> batch);
    void batchStored(const Proposed &proposed, const Result<std::string> &outcome);
    static void tellOutcomes(const Proposed &proposed, const Result<CommandOutcomes> &outcomes);
    void plan(std::vector<Pending> &batch);
    std::vector<OpenTarget> openTargets(const WorkflowStore &store) const;
    void placed(const PlaceRuns &command, CommandOutcome outcome);
    void countFirstStart(const PlaceRuns &command, const WorkflowStore &store) const;
    void countOver(const std::vector<WorkflowId> &touched, std::int64_t atMs);
    void settle(const std::vector<WorkflowId> &touched, std::int64_t atMs);
    void noteCrash(IncarnationId incarnation, IncarnationEnd how);
    void crashStored(IncarnationId incarnation, const std::vector<TaskAddress> &tasks,
                     std::int64_t atMs);
    void noteAlive(IncarnationId incarnation);
    bool hasBegun(const Workflow &workflow) const;
    void takeReport(IncarnationId incarnation, const TargetReport &report,
                    const Done<Nothing> &done);
    void setDraining(IncarnationId incarnation, bool isDraining, const Done<Nothing> &done);
    void domainChanged(const std::string &failureDomain, bool isEvacuated, CommandOutcome outcome);
    void ask(const AdmissionQuery &query);
    void answered(const AdmissionQuery &query, Instant askedAt,
                  const Result<AdmissionPort::Admitted> &answer);

    TargetSession &openSession(IncarnationId incarnation, const IncarnationRecord &record);
    void openAll();
    void beginSome(std::size_t most);
    void runsOver(IncarnationId incarnation, std::vector<RunEnd> ends);
    void lifeOver(IncarnationId incarnation, IncarnationEnd how);
    void neverStarted(IncarnationId incarnation, const TaskAddress &task, RunNumber run);
    void forgetLife(IncarnationId incarnation);
    using PlacedTasks = std::vector<std::pair<IncarnationId, TaskAddress>>;
    static void addPlaced(const StepAddress &address, const StepProgress &step, PlacedTasks &to);
    void stopAll(WorkflowId id, std::string_view why, const PlacedTasks &placed);
    void stopPlaced(WorkflowId id);
    void stopOrphans();
    void runsListed(IncarnationId incarnation, const std::vector<RunningTask> &running);
    std::vector<ExpectedRun> expectedOf(const std::vector<RunningTask> &running) const;
    void moveStalled(IncarnationId incarnation, const ProgressMonitor &progress);
    void refreshPolicy();
    void tick(std::uint64_t inTerm);
    void forgetOld();
    /// The policy of the queue that the workflow is in, or null.
    const QueuePolicy *queueOf(WorkflowId id, const WorkflowStore &store) const;
    Error notLeading() const;

    ControllerOptions options;
    ReplicatedLog &log;
    WorkflowStoreMachine &machine;
    TargetPort &targets;
    AdmissionPort &admissionPort;
    WorkflowMetrics metrics;

    bool leads = false;
    std::uint64_t term = 0;
    bool isBatchUnderWay = false;
    bool isFlushQueued = false;
    bool needsPlan = false;
    bool isPlanQueued = false;
    Instant nextPlanAt{};
    Instant nextTickAt{};
    Microseconds lag{0};
    std::set<WorkflowId> countedOver; ///< by the commands of countedAtMs
    std::int64_t countedAtMs = 0;
    std::vector<Pending> pending;
    std::vector<Done<Nothing>> waitingBarriers;
    std::map<IncarnationId, LifeState> incarnations;
    std::deque<IncarnationId> unbegun; ///< whose sessions have not asked their targets yet
    TargetHealth health;
    std::map<TaskAddress, unsigned> movesOf; ///< runs stopped because their target had stalled
    AdmissionTable admissions;
    AdmittedFractions admittedFractions;
    ClaimTable claims;
    WaitTimeTracker waits;
    std::map<StepAddress, Instant> orphansSince; ///< gangs that have lost members
    Policy inForce;
    std::int64_t policyVersion = -1;
    Instant nextForget{};
    Instant nextPlanLog{};
    std::size_t openQueries = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace guavavalve::workflows
