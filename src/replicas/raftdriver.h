#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "core/error.h"
#include "journal/storage.h"
#include "replicas/applier.h"
#include "replicas/formationhooks.h"
#include "replicas/groupformation.h"
#include "replicas/grouprouter.h"
#include "replicas/raftcore.h"
#include "replicas/raftoptions.h"
#include "replicas/replicatedlog.h"
#include "replicas/unsavedoutput.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace guavavalve::internal {

/// Runs the log's thread of one replica: feeds received messages, proposals and ticks to RaftCore,
/// then stores and sends what it outputs.
class RaftDriver : public std::enable_shared_from_this<RaftDriver>
{
public:
    RaftDriver(RaftOptions options, std::unique_ptr<Storage> storage, GroupRouter &router,
               StateMachine &stateMachine, std::function<void(const Error &)> onDiskFailure = {});
    ~RaftDriver();
    RaftDriver(const RaftDriver &) = delete;
    RaftDriver &operator=(const RaftDriver &) = delete;

    /// Also resumes the founding of a group that an earlier start of this replica began.
    ///
    /// The state machine gets \a initialState, if given, unless the storage has a snapshot.
    Result<void> start(const std::optional<std::string> &initialState = std::nullopt);
    void stop();

    void propose(std::string command, Done<std::string> done);
    ReplicaStatus status() const;
    bool holdsLeaderLease() const;
    void form(std::vector<ReplicaMember> members, const Done<Nothing> &done);
    void addMember(ReplicaMember member, const Done<Nothing> &done);
    void removeMember(InstanceId instance, const Done<Nothing> &done);
    void transferLeadership(const Done<Nothing> &done);

private:
    struct Proposal
    {
        std::string command;
        Done<std::string> done;
    };
    struct PendingJoin
    {
        ReplicaId replica = ReplicaId::None;
        Done<Nothing> done;
    };
    /// A command proposed on this replica and not yet committed.
    struct PendingProposal
    {
        std::uint64_t term = 0;
        Done<std::string> done;
    };
    using Task = std::function<void()>;
    /// What to do with a task when the task queue is full.
    enum class OverflowPolicy : std::uint8_t { Reject, Accept };

    Result<void> resumeFounding();
    // Called from other threads.
    bool post(Task task, OverflowPolicy overflowPolicy = OverflowPolicy::Reject);
    void receive(const std::string &bytes, Done<std::string> reply);
    void onReply(ReplicaId to, bool isFlowControlled, Result<std::string> reply);

    // Called on the log's thread; defined in raftdriver.cpp, raftdriversend.cpp and
    // raftdriverstate.cpp.
    /// An exception ends the process: it may leave the replica's log or votes half changed, and a
    /// replica that went on could break a promise. Whatever may be malformed is decoded before it
    /// is posted here.
    void run() noexcept;
    void takeProposals(std::vector<Proposal> proposals);
    void processOutput();
    void storeAndSend(RaftOutput output);
    UnsavedOutput::Hooks outputHooks();
    void storeUnsaved();
    Result<void> releaseSegments(LogIndex through);
    void transferLeadershipIfDiskFull();
    void send(std::vector<OutgoingMessage> &messages);
    void sendRequest(OutgoingMessage outgoing);
    void rejectUnanswered();
    void enqueueCommitted();
    void updateLeadership();
    void publishStatus();
    void takeSnapshotIfDue();
    void saveSnapshot(SnapshotMeta meta, const std::string &state);
    static Error leadershipLostError();
    void failPending(const Error &error);
    void fail(const Error &error);

    // Called on the log's thread; defined in raftdrivermembers.cpp.
    void identify(const std::string &address, const IdentifyRequest &request,
                  const std::function<void(Result<IdentityReply>)> &done);
    void onIdentifyRequest(const RaftMessage &message, const IdentifyRequest &request,
                           const Done<std::string> &reply);
    FormationHooks formationHooks();
    void join(const ReplicaMember &member, const IdentityReply &identity, ReplicaId replaces,
              Done<Nothing> done);
    void completeMembershipChanges();
    void admitSpare();

    RaftOptions options;
    std::function<void(const Error &)> onDiskFailure; ///< empty: onStorageFailure
    std::unique_ptr<Storage> storage;
    GroupRouter &router;
    StateMachine &stateMachine;
    Applier applier;
    std::unique_ptr<RaftCore> core;
    std::unique_ptr<GroupFormation> formation;

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<Task> tasks;
    std::vector<Proposal> proposals;
    bool running = false;
    bool stopping = false;
    ReplicaStatus published;

    std::atomic<std::int64_t> leaseUntil{0}; ///< Instant ticks; zero: no lease
    std::atomic<std::size_t> unappliedCount{0};
    std::atomic<std::size_t> unappliedBytes{0};

    // The members below are accessed only by the log's thread.
    UnsavedOutput unsaved;
    bool isWriteRefused = false; ///< the last attempt to store was refused by the disk
    bool exceedsUnsavedLimit = false; ///< RaftOptions::maxUnsavedBytes is exceeded
    Instant nextStoreAttempt{}; ///< earliest retry of a store that the disk refused
    Instant nextSnapshotAttempt{}; ///< earliest retry of a snapshot that the disk refused
    std::uint64_t lastToken = 0;
    std::map<std::uint64_t, Done<std::string>> replies;
    std::map<LogIndex, PendingProposal> pendingProposals;
    std::vector<PendingJoin> pendingJoins;
    std::vector<Done<Nothing>> pendingTransfers;
    std::uint64_t ledTerm = 0; ///< term in which this replica leads; zero: it does not lead
    std::uint64_t announcedTerm = 0; ///< term reported to onLeadership as led; zero: none
    std::size_t sparesTried = 0; ///< selects the next spare in turn
    Instant nextReplacement{}; ///< earliest next attempt to admit a spare
    bool isTakingSnapshot = false;
    bool hasFailed = false;
    std::size_t bytesSinceSnapshot = 0;
    std::thread thread;
};

} // namespace guavavalve::internal
