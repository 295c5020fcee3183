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

/// The controller of one replica group: while its replica leads, it decides, commits, and only
/// then has anyone act. Every public function may be called from any thread and returns at once;
/// what it starts runs on the controller's own loop.
///
/// \errors NotLeader, with the leader's address as message, from every request when this replica
/// does not lead; Unavailable when the loop's queue is full or leadership was lost meanwhile.
class CellController
{
public:
    CellController(ControllerOptions options, ReplicatedLog &log, ClusterStateMachine &state);
    ~CellController();
    CellController(const CellController &) = delete;
    CellController &operator=(const CellController &) = delete;

    void start();
    void stop();

    /// To be called by the log's leadership hook.
    void leadershipChanged(bool leads);

    void submit(SubmitRequest request, Done<SubmitReply> done);
    void attemptEnded(AttemptEnd end, Done<Nothing> done);
    void jobStatus(std::string team, JobId job, bool awaitEnd, Instant deadline,
                   Done<JobStatus> done);
    void cancelJob(std::string team, JobId job, Done<JobStatus> done);
    void announce(std::vector<Announcement> announcements,
                  Done<std::vector<AnnouncementReply>> done);
    void synchronise(SyncRequest request, Done<SyncReply> done);

    /// Commits one command for the operators' service.
    void propose(Command command, Done<CommandValue> done);

    /// What the scheduler says of \a task; empty where this replica does not lead. Waits for the
    /// loop's present round, unless called from the loop itself.
    Explanation explain(TaskId task);
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
    /// What the state knows about the sender of a request.
    struct Submitter
    {
        TeamId team = TeamId::None;
        bool isResend = false; ///< the idempotency key stands for a job already
        std::int64_t startWithinMs = 0; ///< asked for, or the configured default
    };
    struct HeldSync
    {
        SyncRequest request;
        Instant deadline;
        Done<SyncReply> done;
    };

    using PendingKey = std::pair<std::string, std::string>; ///< team and idempotency key

    void onLoop(const std::function<void()> &action);

    template<typename T>
    void post(Done<T> done, std::function<void(const Done<T> &)> action);
    TimePair time() const;
    Error notLeader() const;
    void add(Command command, Done<CommandValue> done);

    void becomeLeader();
    void expectLeasesAndEntries(const ClusterState &cluster, const TimePair &time,
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
    void orderMakingRoom(const Decision &decision, DispatchAction action);

    void recordEnd(const AttemptEnd &end, const Done<Nothing> &done);
    void attemptOver(TaskId task, AttemptOutcome outcome);
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
    void quietenTargets(Instant now);
    void tellClosedTargets(const Command &command);
    void targetHeard(TargetId target, Instant now);
    void releaseTasks(const std::vector<TaskId> &tasks);
    void loseEntry(const InstanceId &entry);

    void hold(HeldSync sync);
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

    // Only the loop's thread touches what follows.
    bool leading = false;
    std::shared_ptr<bool> term = std::make_shared<bool>(false); ///< false once it is over
    Instant nextSweep{};
    CommandPipeline pipeline;
    SchedulerFeed feed;
    std::unique_ptr<Scheduler> scheduler;
    Instant wakeup = Instant::max();
    std::uint64_t nextTaskValue = 0;
    std::uint64_t policyVersion = 0;
    TargetLeases leases;
    TargetLeases hearing; ///< when a target that is not heard again becomes quiet
    std::set<TargetId> quietTargets;
    JobWaiters waiters;
    OrderOutbox outbox;
    std::map<PendingKey, PendingSubmit> submits;
    std::map<JobId, PendingKey> submitsByJob;
    std::set<TaskId> startedByReply; ///< whose Start went out with the answer to their submit
    std::multimap<Instant, JobId> finishDeadlines;
    std::vector<HeldSync> syncs;
    std::vector<SchedulerFeed::Refused> refusedTasks;
    std::deque<std::pair<Instant, JobId>> finishedJobs;
    std::set<JobId> toldFinished; ///< those in finishedJobs whose waiting has been observed
};

} // namespace guavavalve
