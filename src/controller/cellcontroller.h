#pragma once

#include "controller/announcement.h"
#include "controller/attemptend.h"
#include "controller/commandpipeline.h"
#include "controller/configurationsync.h"
#include "controller/controlleroptions.h"
#include "controller/entrytable.h"
#include "controller/eventloop.h"
#include "controller/jobstatus.h"
#include "controller/jobwaiters.h"
#include "controller/orderoutbox.h"
#include "controller/schedulerfeed.h"
#include "controller/submitreply.h"
#include "controller/submitrequest.h"
#include "controller/targetleases.h"
#include "decisions/decisions.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve {

class ClusterState;
class ClusterStateMachine;
class ReplicatedLog;

/// The controller of one replica group. While its replica leads, it makes the scheduling
/// decisions, commits them to the replicated log and only then has them carried out. Public
/// functions may be called from any thread. Unless noted otherwise they return at once, and the
/// work runs on the controller's own event loop.
///
/// \errors NotLeader, with the leader's address as message, from every request if this replica
/// does not lead; Unavailable if the loop's queue is full or leadership is lost before the
/// outcome is known.
class CellController
{
public:
    CellController(ControllerOptions options, ReplicatedLog &log, ClusterStateMachine &state);
    ~CellController();
    CellController(const CellController &) = delete;
    CellController &operator=(const CellController &) = delete;

    void start();
    void stop();

    /// Called by the replicated log when this replica gains or loses leadership.
    void leadershipChanged(bool leads);

    void submit(SubmitRequest request, Done<SubmitReply> done);
    void attemptEnded(AttemptEnd end, Done<Nothing> done);
    void jobStatus(std::string team, JobId job, bool awaitEnd, Instant deadline,
                   Done<JobStatus> done);
    void cancelJob(std::string team, JobId job, Done<JobStatus> done);
    void announce(std::vector<Announcement> announcements,
                  Done<std::vector<AnnouncementReply>> done);
    void synchronise(SyncRequest request, Done<SyncReply> done);

    /// Commits one command on behalf of the OperatorService.
    void propose(Command command, Done<CommandValue> done);

    /// The scheduler's explanation of the state of \a task; empty if this replica does not lead.
    /// Blocks until the loop's current round has ended, unless called from the loop itself.
    Explanation explain(TaskId task);
    /// The scheduler's statistics. Blocks in the same way as explain().
    Statistics statistics();

    std::int64_t cellTimeMs() const { return this->options.cellTime(); }
    std::vector<EntryInfo> entries() const { return this->entryTable.entries(); }

private:
    struct PendingSubmit
    {
        SubmitRequest request;
        TimePair time;
        std::vector<Done<SubmitReply>> waiting;
        JobId job = JobId::None;
    };
    /// What the replicated state holds about the sender of a submit request.
    struct Submitter
    {
        TeamId team = TeamId::None;
        bool isResend = false; ///< the idempotency key already belongs to a job
        std::int64_t startWithinMs = 0; ///< as requested, or the configured default
    };
    /// A configuration sync whose reply is held back until the configuration changes or the
    /// deadline passes.
    struct HeldSync
    {
        SyncRequest request;
        Instant deadline;
        Done<SyncReply> done;
    };

    using PendingKey = std::pair<std::string, std::string>; ///< team and idempotency key

    void runOnLoop(const std::function<void()> &action);

    template<typename T>
    void post(Done<T> done, std::function<void(const Done<T> &)> action);
    TimePair time() const;
    Error notLeader() const;
    /// Adds \a command to the current round's batch. \a done gets an error if the leadership term
    /// has ended by then.
    void enqueue(Command command, Done<CommandValue> done);

    void becomeLeader();
    void restoreLeasesAndOrders(const ClusterState &cluster, const TimePair &time,
                                Instant entryDeadline);
    void loseLeadership();
    void roundEnded();
    void sweep(Instant now);
    Instant nextWakeup() const;

    bool joinPending(const PendingKey &key, const SubmitRequest &request,
                     const Done<SubmitReply> &done);
    Result<Submitter> submitterOf(const SubmitRequest &request) const;
    void accept(SubmitRequest request, const Done<SubmitReply> &done);
    Result<void> enqueueTasks(const PendingSubmit &pending, TeamId team);
    void proposeAcceptance(const PendingKey &key, TeamId team);
    void acceptanceCommitted(const PendingKey &key, const Result<CommandValue> &outcome);
    SubmitReply replyTo(const SubmitRequest &request, const JobAccepted &accepted);
    const PendingSubmit *pendingOf(TaskId task) const;

    void decide();
    void proposePlacements(const std::vector<Decision> &decisions);
    JobId gangOf(TaskId task) const;
    PlaceTask placement(const Decision &decision);
    void placementCommitted(const PlaceTask &place, const Result<CommandValue> &outcome);
    void refuse(const Decision &decision);
    void orderPreemption(const Decision &decision, DispatchAction action);

    void recordEnd(const AttemptEnd &end, const Done<Nothing> &done);
    void handleAttemptEnd(TaskId task, AttemptOutcome outcome);
    void jobChanged(JobId job);
    void cancel(const std::string &team, JobId job, const Done<JobStatus> &done);
    void cancelOverdueJobs(Instant now);
    void stopPlacedTasks(JobId job);

    AnnouncementReply renewLease(const Announcement &announcement);
    bool needsRegistration(const Announcement &announcement) const;
    RegisterTarget registration(const Announcement &announcement) const;
    void acceptAnnouncements(std::vector<Announcement> announcements,
                             const Done<std::vector<AnnouncementReply>> &done);
    void targetRegistered(const std::string &name, const std::vector<TaskId> &before);
    void lapseTargets(Instant now);
    void markUnresponsiveTargets(Instant now);
    void updateClosedTargets(const Command &command);
    void markResponsive(TargetId target, Instant now);
    void releaseTasks(const std::vector<TaskId> &tasks);
    void reassignAttemptsOf(const InstanceId &entry);

    void holdSync(HeldSync sync);
    void answerSyncs();
    SyncReply syncReply(const SyncRequest &request) const;
    void refreshPolicy();
    void retryRefusedTasks();
    void forgetOldJobs(Instant now);
    void sendDueOrders(Instant now);
    Result<JobStatus> statusOf(const std::string &team, JobId job) const;

    ControllerOptions options;
    ReplicatedLog &log;
    ClusterStateMachine &state;
    EventLoop loop;
    EntryTable entryTable;

    // The members below are accessed on the loop's thread only.
    bool leading = false;
    /// Whether the current leadership term is active. Proposed commands keep it to recognise
    /// outcomes that arrive after their term has ended.
    std::shared_ptr<bool> termActive = std::make_shared<bool>(false);
    Instant nextSweep{};
    CommandPipeline pipeline;
    SchedulerFeed feed;
    std::unique_ptr<Scheduler> scheduler;
    Instant wakeup = Instant::max();
    std::uint64_t nextTaskValue = 0;
    std::uint64_t policyVersion = 0;
    TargetLeases leases;
    TargetLeases heartbeatDeadlines; ///< after which a target is unresponsive
    std::set<TargetId> unresponsiveTargets;
    JobWaiters waiters;
    OrderOutbox outbox;
    std::map<PendingKey, PendingSubmit> submits;
    std::map<JobId, PendingKey> submitsByJob;
    std::set<TaskId> startedByReply; ///< whose Start order is sent with the reply to their submit
    std::multimap<Instant, JobId> finishDeadlines;
    std::vector<HeldSync> syncs;
    std::vector<SchedulerFeed::Refused> refusedTasks;
    std::deque<std::pair<Instant, JobId>> finishedJobs;
    std::set<JobId> reportedJobs; ///< jobs in finishedJobs, whose waiting time has been reported
};

} // namespace guavavalve
