#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "journal/recoveredstate.h"
#include "replicas/memberlist.h"
#include "replicas/progress.h"
#include "replicas/raftcoreoptions.h"
#include "replicas/raftlog.h"
#include "replicas/raftoutput.h"
#include "replicas/replicatedlog.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavavalve {

/// The Raft state machine, without I/O, clock or threads. Its inputs are messages, proposals and
/// the current time; its outputs are messages, data to store, and committed entries.
///
/// Raft: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); from
/// Ongaro's thesis (2014): single-server membership changes (4.1-4.2), leadership transfer (3.10),
/// leader lease (6.4.1), step-down of a leader without a quorum (6.2) and pre-vote (9.6).
///
/// After each input, the caller takes the output with takeOutput(), carries it out in the order of
/// its members, and calls persisted() once the batch has been synced.
class RaftCore
{
public:
    RaftCore(RaftCoreOptions options, const RecoveredState &recovered, Instant now);

    // Inputs.
    void tick(Instant now);
    /// \a token is returned in OutgoingMessage::replyTo if \a message is a request.
    void receive(RaftMessage message, std::uint64_t token, Instant now);
    /// Reports that the last message to \a replica could not be delivered or got no reply.
    void unreachable(ReplicaId replica, Instant now);
    /// Reports that the batch and the snapshot of the last output have been synced.
    void persisted();
    /// Reports that a snapshot has been saved and drops the entries that it covers, except for the
    /// last RaftCoreOptions::retainedEntries as far as they fit into
    /// RaftCoreOptions::retainedBytes.
    void compact(const SnapshotMeta &meta);

    /// \errors NotLeader; Unavailable while leadership is being transferred.
    Result<LogIndex> propose(std::string command);
    /// \errors Conflict if already formed; InvalidArgument if \a list lacks this replica as a
    /// voter.
    Result<LogIndex> form(const MemberList &list, Instant now);
    /// Gives up a membership that this replica has only written down itself, so that it can join
    /// another formation. Requires holdsNothing().
    void abandonFormation();
    /// \errors NotLeader; Conflict if already a member; Unavailable while another change is in
    /// progress.
    Result<LogIndex> addLearner(MemberRecord member);
    /// \errors NotLeader; NotFound; InvalidArgument for the last voter; Unavailable as for
    /// addLearner().
    Result<LogIndex> removeInstance(const InstanceId &instance);
    /// \errors NotLeader; Unavailable if no voter can take over or a transfer is already in
    /// progress.
    Result<void> transferLeadership(Instant now);

    // Outputs.
    RaftOutput takeOutput();
    /// Takes the next committed entries that have not been delivered yet: at most \a maxBytes, but
    /// at least one entry if there is any.
    std::vector<LogEntry> takeCommitted(std::size_t maxBytes);

    // State.
    ReplicaId self() const { return this->selfId; }
    ReplicaRole role() const;
    bool isFormed() const { return this->hardState.formation != 0; }
    /// True if this replica has taken part in no group: it is unformed, or has written down who
    /// founds one, and has neither voted nor heard from a leader.
    bool holdsNothing() const;
    std::uint64_t formation() const { return this->hardState.formation; }
    std::uint64_t term() const { return this->hardState.term; }
    ReplicaId leader() const { return this->currentLeader; }
    LogIndex committed() const { return this->commitIndex; }
    LogIndex lastDelivered() const { return this->deliveredIndex; }
    /// The index of the first entry that this leader appended in its term; zero if this replica is
    /// not the leader.
    LogIndex firstIndexOfTerm() const { return this->noOpIndex; }
    const RaftLog &entries() const { return this->log; }
    const MemberList &members() const { return this->memberHistory.back().list; }
    /// The members according to the last committed list.
    const MemberList &committedMembers() const;
    /// The list that applies at \a index, which must not be before the log's base.
    const MemberList &membersAt(LogIndex index) const;
    const std::map<ReplicaId, Progress> &followers() const { return this->progress; }
    /// Returns the voter that has been silent longest, if that is \a timeout or more and no learner
    /// that replies is to replace it yet. Empty unless this replica is a leader that may change the
    /// membership now.
    std::optional<MemberRecord> findUnresponsiveVoter(Milliseconds timeout) const;
    bool isTransferring() const { return this->transferTarget != ReplicaId::None; }
    bool isSendingSnapshot() const;
    /// No other replica can become leader before this instant; the epoch if there is no lease.
    Instant leaseUntil() const;

private:
    struct MembersAt
    {
        LogIndex index = 0;
        MemberList list;
    };

    // raftcore.cpp
    RaftMessage makeMessage(ReplicaId to, RaftBody body) const;
    void reply(const RaftMessage &request, std::uint64_t token, RaftBody body);
    void sendTo(const MemberRecord &member, RaftBody body, bool beforeSync,
                std::size_t chunkBytes = 0);
    void replyIdentity(const RaftMessage &request, std::uint64_t token);
    void appendEntry(LogEntry entry);
    void truncateFrom(LogIndex index);
    void setTerm(std::uint64_t term);
    void becomeFollower(std::uint64_t term, ReplicaId leader);
    Instant randomElectionDeadline();
    bool isAddressedHere(const RaftMessage &message) const;
    void reportInvariantViolation(std::string message);
    void dispatch(const RaftMessage &message, std::uint64_t token);
    void handleLeaderMessage(const RaftMessage &message, std::uint64_t token);

    // raftelection.cpp
    bool canCampaign() const;
    void startPreVote();
    void requestStartupPreVotes();
    void onStartupPreVoteReply(ReplicaId from, const VoteReply &answer);
    VoteReply startupPreVoteReply(const RaftMessage &message, const VoteRequest &request) const;
    bool awaitsFirstLeader() const;
    void startElection(bool transfer);
    void becomeLeader();
    void inheritSilence();
    void requestVotes(bool preVote, bool transfer);
    void countVotes(bool preVote);
    void onVoteRequest(const RaftMessage &message, const VoteRequest &request, std::uint64_t token);
    void onVoteReply(const RaftMessage &message, const VoteReply &answer);
    void onTimeoutNow(const RaftMessage &message);
    bool hasRecentLeader() const;
    void onFormRequest(const RaftMessage &message, const FormRequest &request, std::uint64_t token);
    bool isFirstEntry(const LogEntry &entry, std::uint64_t formation) const;
    void adoptFormation(std::uint64_t formation);

    // raftfollower.cpp
    void onAppendRequest(const RaftMessage &message, const AppendRequest &request,
                         std::uint64_t token);
    void onHeartbeatRequest(const RaftMessage &message, const HeartbeatRequest &request,
                            std::uint64_t token);
    void onSilentMembers(const RaftMessage &message, const SilentMembers &silent,
                         std::uint64_t token);
    void onSnapshotRequest(const RaftMessage &message, const SnapshotRequest &request,
                           std::uint64_t token);
    bool receiveChunk(const SnapshotRequest &request);
    void installSnapshot();
    LogIndex retryIndex(LogIndex previous) const;
    void advanceFollowerCommit(LogIndex index);

    // raftleader.cpp
    void leaderTick();
    void sendHeartbeats();
    void reportSilentMembers();
    std::map<ReplicaId, Instant> silentVoters() const;
    void sendEntries();
    void sendEntriesTo(const MemberRecord &member, Progress &peer);
    bool sendBatch(const MemberRecord &member, Progress &peer);
    void sendChunk(const MemberRecord &member, Progress &peer);
    void startSnapshot(Progress &peer);
    Progress *recordReply(const RaftMessage &message, std::int64_t sentAt);
    void onAppendReply(const RaftMessage &message, const AppendReply &answer);
    void onHeartbeatReply(const RaftMessage &message, const HeartbeatReply &answer);
    void onSnapshotReply(const RaftMessage &message, const SnapshotReply &answer);
    LogIndex syncedBy(std::size_t count, bool votersOnly) const;
    void advanceCommit();
    Instant quorumContactTime() const;
    void finishTransfer();

    // raftmembership.cpp
    void trackMembers();
    bool mayChangeMembers() const;
    LogIndex proposeMembers(const MemberList &list);
    void onIdentityReply(const RaftMessage &message, const IdentityReply &answer);
    void changeMembersOnTick();
    bool admitReplacement();
    bool removeSupersededLearner();
    bool removeSilentLearner();
    bool promoteLearner();
    bool isCaughtUp(const MemberRecord &member) const;
    bool hasReplied(ReplicaId replica, Milliseconds within) const;
    bool isSilent(ReplicaId replica, Milliseconds timeout) const;
    const MemberRecord *
    longestSilentVoter(Milliseconds timeout,
                       const std::function<bool(const MemberRecord &)> &isExcluded) const;
    static bool isNewDiskOf(const MemberRecord &learner, const MemberRecord &voter);
    static MemberList withoutLearner(MemberList list, const MemberRecord &learner);
    const MemberRecord *memberToReplace(const MemberRecord &learner) const;

    RaftCoreOptions options;
    ReplicaId selfId;
    Instant now;

    HardState hardState;
    RaftLog log;
    std::deque<MembersAt> memberHistory; ///< the list at the log's base and all later ones
    LogIndex commitIndex = 0;
    /// What a majority of the voters has synced in this leader's term: commitIndex of plain Raft,
    /// which RaftCoreOptions::minCopies may hold back. Membership changes depend on it alone.
    LogIndex quorumIndex = 0;
    LogIndex deliveredIndex = 0;
    LogIndex syncedIndex = 0;
    SnapshotMeta snapshot; ///< the newest one saved by this replica

    ReplicaRole currentRole = ReplicaRole::Follower;
    bool isPreCandidate = false;
    ReplicaId currentLeader = ReplicaId::None;
    Instant lastLeaderContact;
    Instant electionAt; ///< when an election starts without contact with a leader
    std::set<ReplicaId> votes;
    std::uint64_t startupId = 0; ///< ID of this process start; 0 once a leader is known
    Instant startupPreVoteAt{}; ///< when to send the next startup pre-vote
    std::map<ReplicaId, std::uint64_t> startupGrants; ///< voter to the startup ID in its grant

    std::map<ReplicaId, Progress> progress;
    LogIndex noOpIndex = 0; ///< a leader's first entry in its term; zero for a follower
    Instant leadsSince{};
    /// Voters that did not answer the last leader, and since when; as of silentReportedAt.
    std::map<ReplicaId, Instant> silentUnderLeader;
    Instant silentReportedAt{};
    ReplicaId lastLeader = ReplicaId::None; ///< heard at lastLeaderContact; None: this replica
    Instant heartbeatAt{}; ///< when to send the next heartbeats
    ReplicaId transferTarget = ReplicaId::None;
    Instant transferUntil{};
    bool timeoutNowSent = false;

    SnapshotMeta incomingMeta;
    std::string incomingState;

    RaftOutput pending;
    bool hardStateChanged = false;
};

} // namespace guavavalve
