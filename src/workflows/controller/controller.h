#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "core/mechanism.h"
#include "replicas/replicatedlog.h"
#include "workflows/controller/workflowmetrics.h"
#include "workflows/health/targethealth.h"
#include "workflows/health/targetspeeds.h"
#include "workflows/intake/intake.h"
#include "workflows/model/incarnationend.h"
#include "workflows/planning/planner.h"
#include "workflows/planning/waittimetracker.h"
#include "workflows/planning/workingset.h"
#include "workflows/queries/admissionport.h"
#include "workflows/sessions/fencesequence.h"
#include "workflows/sessions/progressmonitor.h"
#include "workflows/sessions/reportsequence.h"
#include "workflows/sessions/targetport.h"
#include "workflows/sessions/targetsession.h"
#include "workflows/shares/accountstanding.h"
#include "workflows/shares/accountuse.h"
#include "workflows/store/workflowstoremachine.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace guavavalve {
class Metrics;
}

namespace guavavalve::workflows {

class AccountShares;

struct ControllerOptions
{
    SessionLimits session;
    MechanismSet mechanisms;
    /// Reads the workflow policy from a configuration document.
    std::function<Result<Policy>(const std::string &document)> readPolicy;
    /// Runs an action on the loop.
    std::function<void(Microseconds delay, std::function<void()>)> runAfter;
    /// Runs an action on the loop; may be called from any thread.
    std::function<void(std::function<void()>)> post;
    std::function<std::int64_t()> calendarMs;
    Metrics *metrics = nullptr; ///< null: no metrics are recorded
    Clock clock = monotonicNow;
    Milliseconds tick{100}; ///< how often leases and due times are checked
    Milliseconds retention{180000}; ///< how long a finished workflow remains available to queries
};

/// A report of a target about itself.
struct TargetReport
{
    TargetIdentity identity;
    bool isReady = false; ///< false: the target drains
    Milliseconds coldFor{0}; ///< how much longer the target is slow after its start
    std::uint64_t sequence = 0; ///< increases within one incarnation
};

/// Runs workflows while its replica leads: makes decisions, has them stored, and carries them out.
///
/// Only one batch of commands is in progress at a time, and plans are made only between two
/// batches, from the stored state; so a plan never has to predict the outcome of the previous one.
/// Everything runs on one loop.
class Controller
{
public:
    Controller(ControllerOptions options, ReplicatedLog &log, WorkflowStoreMachine &machine,
               TargetPort &targets, AdmissionPort &admissions);
    ~Controller();
    Controller(const Controller &) = delete;
    Controller &operator=(const Controller &) = delete;

    /// This replica leads in \a term and has applied all earlier entries, or it no longer leads.
    void leadershipChanged(bool leads, std::uint64_t term);

    /// True while no later controller can have made decisions yet: the store is then up to date.
    bool isCurrent() const;

    /// Decides whether a workflow that was requested by a call with this stamp is to be submitted.
    /// One that is stored or about to be is never refused.
    IntakeDecision decideIntake(const WorkflowSpec &spec, const CallStamp &stamp);
    /// False if the intake is disabled: every request is accepted.
    bool hasIntake() const { return this->options.mechanisms.has(Mechanism::Intake); }

    /// Whether the stamp is on this controller's clock, in its present term.
    bool isOwnStamp(const CallStamp &stamp) const { return stamp.term == this->term; }
    /// True if the call was received so long ago that its caller has given it up.
    bool isTooOld(const CallStamp &stamp) const;
    /// True if a cancel of the workflow was acknowledged, or is about to be, before it was stored,
    /// and the request to accept it is not known to have been sent after that.
    bool precedesCancel(const WorkflowSpec &spec, const CallStamp &stamp) const;
    /// Notes that a request to accept the workflow is acknowledged, also if it was accepted before.
    void noteRequest(WorkflowId id, const CallStamp &stamp);
    /// True if the call was received before the last request to accept the workflow that was noted,
    /// or before this controller led.
    bool precedesRequest(WorkflowId id, const CallStamp &stamp) const;

    /// \errors those of ReplicatedLog::propose(), also for the next four functions.
    void submit(WorkflowSpec spec, Done<CommandOutcome> done);
    void cancel(WorkflowId id, Done<CommandOutcome> done);
    /// Cancels a workflow that is not stored, so that no request under way has it accepted. The
    /// outcome is Rejected unless it has been stored by then.
    /// \errors LimitExceeded if its account has too many such cancels.
    void cancelUnknown(const CancelUnknown &command, const Done<CommandOutcome> &done);
    void storeDocument(std::int64_t version, std::string text, Done<CommandOutcome> done);
    /// Evacuates \a failureDomain, so that nothing new is started on its targets, or reopens it.
    /// Runs on its targets continue. Repeating a call has no effect; of contradictory calls the one
    /// stored last is in effect.
    /// \errors Conflict, with Ran::No, if the call would undo one that was stored, or is being
    /// stored, and is not known to have been sent after that.
    void evacuate(const std::string &failureDomain, bool isEvacuated, const CallStamp &stamp,
                  const Done<CommandOutcome> &done);
    /// True if all known targets for \a queue are in evacuated failure domains.
    bool isFullyEvacuated(const std::string &queue) const;
    /// Waits until a quorum has confirmed that this controller was still the leader at the time of
    /// the call.
    void confirmLeadership(Done<Nothing> done);

    /// Processes a heartbeat. \a done: called when the report is stored; from then on nothing new
    /// is started on a draining target.
    void heartbeatReceived(const TargetReport &report, const Done<Nothing> &done);
    /// Other replicas have answered reports of these incarnations that contained nothing new.
    void unchangedReportsReceived(const std::vector<IncarnationId> &heard);
    /// A target has announced that its incarnation is over. \a startedAtMs: the incarnation; 0: not
    /// stated.
    void targetLeft(const std::string &name, std::int64_t startedAtMs, const Done<Nothing> &done);

    const WorkflowStoreMachine &store() const { return this->machine; }
    const Policy &policy() const { return this->currentPolicy; }
    /// Number of targets that can receive new work.
    std::size_t usableTargets() const;
    std::size_t knownTargets() const { return this->incarnations.size(); }
    /// Delay of the latest periodic action: work that is queued on the loop waits at least that
    /// long.
    Microseconds loopLag() const { return this->lag; }
    /// Number of unfinished workflows of \a queue of which, as far as is known here, no task has
    /// started on a target. May be 0.5 s old: all live workflows are counted at once.
    std::size_t waitingIn(const std::string &queue);
    /// What each client account is due, has and waits for, by queue, as of the latest plan. Empty
    /// if shares are disabled.
    std::vector<AccountStanding> accountStandings() const;

private:
    struct Pending
    {
        Command command;
        Done<CommandOutcome> done;
    };
    /// Commands that are being replicated, without their content.
    struct Proposed
    {
        std::uint64_t term = 0;
        Instant at{};
        std::vector<Done<CommandOutcome>> done;
        std::vector<bool> makesNoRoom; ///< placements, and commands without effect on plans
        std::vector<Done<Nothing>> barriers;
    };
    struct TargetState
    {
        std::shared_ptr<TargetSession> session;
        ReportSequence reports;
        /// The start time of another incarnation that has answered; -1: none.
        std::int64_t confirmedStart = -1;
        bool isConfirming = false; ///< another incarnation that was claimed is being asked
        ProgressMonitor progress;
    };

    /// What waits until a workflow has been accepted, or has not been.
    struct Accepting
    {
        std::size_t submissions = 0;
        std::vector<std::function<void()>> waiters;
    };

    void enqueue(Command command, Done<CommandOutcome> done);
    void enqueueSeparately(Command command, Done<CommandOutcome> done);
    void submissionEnded(WorkflowId id);
    bool isSentAfter(const CallStamp &stamp, Instant time) const;
    void storeUnknownCancel(const CancelUnknown &command, const Done<CommandOutcome> &done);
    void flush();
    void flushNow();
    void planLater();
    std::string encodeFitting(std::vector<Pending> &batch);
    void propose(std::vector<Pending> batch);
    void batchStored(const Proposed &proposed, const Result<std::string> &outcome);
    static void reportOutcomes(const Proposed &proposed, const Result<CommandOutcomes> &outcomes);
    void planInto(std::vector<Pending> &batch);
    void plan(PlanScope scope, std::vector<Pending> &batch);
    void logPlanAtIntervals(const PlanSummary &summary);
    /// The workflows that the batch is to store.
    static std::vector<const WorkflowSpec *> acceptedIn(const std::vector<Pending> &batch);
    void reportIntake();
    void countLive(Instant now);
    std::vector<OpenTarget> openTargets(const WorkflowStore &store) const;
    void placed(const PlaceRuns &command, CommandOutcome outcome);
    void countFirstStart(const PlaceRuns &command, const WorkflowStore &store) const;
    void countFinished(const std::vector<WorkflowId> &touched, std::int64_t atMs);
    void finishWorkflows(const std::vector<WorkflowId> &touched, std::int64_t atMs);
    void recordCrash(IncarnationId incarnation, IncarnationEnd how);
    void crashStored(IncarnationId incarnation, const std::vector<TaskAddress> &tasks,
                     std::int64_t atMs);
    void recordAlive(IncarnationId incarnation);
    bool hasBegun(const Workflow &workflow) const;
    void countWaiting();
    bool isUnproven(IncarnationId known, const TargetReport &report) const;
    bool replacesUnproven(IncarnationId known, const TargetReport &report,
                          const Done<Nothing> &done);
    void forgetUnproven(IncarnationId known);
    void registerIncarnation(const TargetReport &report, const Done<Nothing> &done);
    void confirmStart(IncarnationId known, const TargetReport &report, const Done<Nothing> &done);
    void applyReport(IncarnationId incarnation, const TargetReport &report,
                     const Done<Nothing> &done);
    void setDraining(IncarnationId incarnation, bool isDraining, const Done<Nothing> &done);
    bool undoesLaterChange(const std::string &failureDomain, bool isEvacuated,
                           const CallStamp &stamp) const;
    void domainChanged(const std::string &failureDomain, bool isEvacuated, CommandOutcome outcome);
    void sendQuery(const AdmissionQuery &query);
    void queryAnswered(const AdmissionQuery &query, Instant askedAt,
                       const Result<AdmissionPort::Admitted> &answer);

    TargetSession &openSession(IncarnationId incarnation, const IncarnationRecord &record);
    void openSessions();
    void startSessions(std::size_t maxCount);
    void adjustWorkingSet(const Plan &made);
    void wakeTargets(std::size_t count);
    void restTargets(std::size_t count);
    void startNextResting();
    void rested(IncarnationId incarnation);
    void woken(IncarnationId incarnation);
    void runsOver(IncarnationId incarnation, std::vector<RunEnd> ends);
    void storeEnds(const EndRuns &command, const std::function<void()> &stored);
    double logSlownessOf(IncarnationId incarnation) const;
    void addToSpeeds(IncarnationId incarnation, const TargetIdentity &identity);
    void refreshSpeeds();
    void forgetUse(const RunEnd &end, const WorkflowStore &store);
    void learnSpeed(IncarnationId incarnation, const RunEnd &end, const WorkflowStore &store);
    void incarnationOver(IncarnationId incarnation, IncarnationEnd how);
    bool keepUnsettled(TargetSession &session);
    void inheritUnsettled(TargetSession &session);
    std::map<IncarnationId, std::vector<UnsettledRun>> supersededRuns();
    void runSettled(IncarnationId placedOn);
    void forgetSettled();
    Instant keptUntil(const TaskAddress &task, RunNumber run) const;
    bool mayHoldEarlierLease(const std::string &target) const;
    void recordLeaseLeft(const TargetSession &session);
    void neverStarted(IncarnationId incarnation, const TaskAddress &task, RunNumber run);
    void forgetIncarnation(IncarnationId incarnation);
    using PlacedTasks = std::vector<std::pair<IncarnationId, TaskAddress>>;
    static void addPlaced(const StepAddress &address, const StepProgress &step, PlacedTasks &to);
    void stopAll(WorkflowId id, std::string_view why, const PlacedTasks &placed);
    void stopPlaced(WorkflowId id);
    void stopIncompleteGangs();
    void runsListed(IncarnationId incarnation, const std::vector<RunningTask> &running);
    std::vector<ExpectedRun> expectedRuns(const std::vector<RunningTask> &running) const;
    void moveStalled(IncarnationId incarnation, const ProgressMonitor &progress);
    void refreshPolicy();
    bool readPolicy(std::int64_t version, const std::string &document);
    void recordQueues();
    bool proposeAlone();
    void tick(std::uint64_t inTerm);
    void forgetOld();
    /// The policy of the workflow's queue, or null.
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
    bool isBatchPending = false;
    bool isFlushQueued = false;
    bool needsPlan = false;
    bool isPlanQueued = false;
    bool isStartQueued = false; ///< the next targets are polled after a pause
    Instant nextPlanAt{};
    Instant nextUrgentPlanAt{};
    Instant nextTickAt{};
    Microseconds lag{0};
    std::set<WorkflowId> countedWorkflows; ///< finished by the commands of countedAtMs
    std::int64_t countedAtMs = 0;
    std::vector<Pending> pending;
    bool hasRemainder = false; ///< the first of them did not fit into the last batch
    /// Commands that replicas of the previous version do not know: they skip batches with them.
    std::deque<Pending> separate;
    bool wasSeparate = false; ///< the last batch was of these
    std::map<WorkflowId, Accepting> accepting; ///< workflows that are being stored
    RecentTimes<WorkflowId> requests; ///< when the last one for each workflow was received
    /// The last change of each failure domain that was requested in this term: whether it is to be
    /// evacuated, and when the request arrived.
    std::map<std::string, std::pair<bool, Instant>> domainRequests;
    /// When the cancels that are being stored were received.
    std::multimap<UnknownCancels::Key, Instant> unknownCancels;
    std::vector<Done<Nothing>> waitingBarriers;
    std::map<IncarnationId, TargetState> incarnations;
    /// Incarnations whose sessions are to poll their targets next.
    std::deque<IncarnationId> sessionsToStart;
    /// The sessions whose targets are polled; the others are resting.
    std::map<IncarnationId, std::shared_ptr<TargetSession>> polled;
    std::set<IncarnationId> resting;
    /// Those of the resting ones that have not been polled yet in this term.
    std::set<IncarnationId> neverPolled;
    WorkingSet workingSet;
    TargetHealth health;
    TargetSpeeds speeds;
    Instant nextSpeedRefresh{};
    Instant nextSpeedForget{};
    /// Stored in a batch of its own: replicas of the previous version skip batches with commands
    /// that they do not know.
    std::optional<RecordSpeeds> speedsToStore;
    std::optional<RecordQueues> queuesToStore; ///< likewise, and before the next document
    FenceSequence fences;
    /// The incarnation whose session settles, by target name, until a later one has registered.
    std::map<std::string, IncarnationId> settling;
    /// When the last order that may have left a lease on the next incarnation was sent, by target
    /// name.
    std::map<std::string, Instant> leasesLeft;
    Instant leadsSince{};
    /// Number of unsettled runs that were placed on each incarnation that is kept for them, or for
    /// those of earlier ones that it has inherited.
    std::map<IncarnationId, std::size_t> unsettledCounts;
    /// Number of runs stopped because their target had stalled.
    std::map<TaskAddress, unsigned> moveCounts;
    AdmissionTable admissions;
    AdmittedFractions admittedFractions;
    ClaimTable claims;
    WaitTimeTracker waits;
    std::map<std::string, std::size_t> waitingCounts; ///< by queue, for waitingIn()
    Instant nextWaitingCount{};
    AccountUse accountUse;
    std::shared_ptr<const AccountShares> shares; ///< of the latest plan; null: none, or disabled
    Intake intake;
    Instant nextIntakeReport{};
    std::size_t refusalLines = 0; ///< logged since the last report
    /// When each incomplete gang was first seen.
    std::map<StepAddress, Instant> incompleteGangsSince;
    Policy currentPolicy;
    std::int64_t policyVersion = -1;
    bool isPolicyRead = false; ///< the policy is that of the document of this version
    Instant nextForget{};
    Instant nextPlanLog{};
    std::size_t openQueries = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace guavavalve::workflows
