#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "core/error.h"
#include "journal/storage.h"
#include "replicas/applier.h"
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
#include <string>
#include <thread>
#include <vector>

namespace guavavalve::internal {

/// The log's thread of one replica: takes what has come in, steps the core, stores and sends.
class RaftDriver : public std::enable_shared_from_this<RaftDriver>
{
public:
    RaftDriver(RaftOptions options, std::unique_ptr<Storage> storage, GroupRouter &router,
               StateMachine &stateMachine);
    ~RaftDriver();
    RaftDriver(const RaftDriver &) = delete;
    RaftDriver &operator=(const RaftDriver &) = delete;

    Result<void> start();
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
    struct Joining
    {
        ReplicaId replica = ReplicaId::None;
        Done<Nothing> done;
    };
    /// A command made here and not yet committed.
    struct Waiting
    {
        std::uint64_t term = 0;
        Done<std::string> done;
    };
    struct Forming;
    using Task = std::function<void()>;
    /// Whether a task may be refused when many are queued.
    enum class Urgency : std::uint8_t { Droppable, Kept };

    // Other threads.
    bool post(Task task, Urgency urgency = Urgency::Droppable);
    void receive(const std::string &bytes, Done<std::string> reply);
    void onReply(ReplicaId to, bool isFlowControlled, Result<std::string> reply);

    // The log's thread: raftdriver.cpp, raftdriversend.cpp, raftdriverstate.cpp
    void run();
    void takeProposals(std::vector<Proposal> proposals);
    void pump();
    void carryOut(RaftOutput output);
    UnsavedOutput::Hooks outputHooks();
    void storeUnsaved();
    Result<void> releaseSegments(LogIndex through);
    void handOverIfFull();
    void send(std::vector<OutgoingMessage> &messages);
    void sendRequest(OutgoingMessage outgoing);
    void answerLeftovers();
    void handOutCommitted();
    void watchLeadership();
    void publish();
    void considerSnapshot();
    void saveSnapshot(SnapshotMeta meta, const std::string &state);
    static Error leadershipLost();
    void failWaiting(const Error &error);
    void fail(const Error &error);

    // The log's thread: raftdrivermembers.cpp
    void identify(const std::string &address, const IdentifyRequest &request,
                  const std::function<void(Result<IdentityReply>)> &done);
    void onIdentifyRequest(const RaftMessage &message, const IdentifyRequest &request,
                           const Done<std::string> &reply);
    void onFormingMember(const std::shared_ptr<Forming> &forming, std::size_t position,
                         const Result<IdentityReply> &found);
    void releaseMembers(const std::shared_ptr<Forming> &forming);
    void formWhenIdentified(const std::shared_ptr<Forming> &forming);
    void join(const ReplicaMember &member, const IdentityReply &found, ReplicaId replaces,
              Done<Nothing> done);
    void settleMembers();
    void replaceGoneVoter();

    RaftOptions options;
    std::unique_ptr<Storage> storage;
    GroupRouter &router;
    StateMachine &stateMachine;
    Applier applier;
    std::unique_ptr<RaftCore> core;

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

    // Only the log's thread touches what follows.
    UnsavedOutput unsaved;
    bool isRefused = false; ///< by the disk, at the last try
    bool isOverfull = false; ///< more is unsaved than may be
    Instant nextStore{}; ///< a disk that has refused is tried again then
    Instant nextSnapshot{}; ///< the same for a snapshot
    std::uint64_t lastToken = 0;
    std::map<std::uint64_t, Done<std::string>> replies;
    std::map<LogIndex, Waiting> waiting;
    std::vector<Joining> joining;
    std::vector<Done<Nothing>> transferring;
    std::uint64_t ledTerm = 0; ///< the term in which this replica leads; zero: it does not
    std::uint64_t announcedTerm = 0; ///< the term that onLeadership was told; zero: none
    std::size_t sparesTried = 0;
    Instant nextReplacement{};
    std::uint64_t reservedFor = 0;
    Instant reservedUntil{};
    bool takesSnapshot = false;
    bool hasFailed = false;
    std::size_t bytesSinceSnapshot = 0;
    std::thread thread;
};

} // namespace guavavalve::internal
