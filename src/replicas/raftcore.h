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
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavavalve {

/// The consensus itself, without any I/O, clock or thread: messages, proposals and the time go
/// in; messages, what to store, and committed entries come out.
///
/// Raft: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014);
/// from Ongaro's thesis (2014) membership by one server at a time (4.1-4.2), leadership
/// transfer (3.10), the leader's lease (6.4.1), clients' step-down rule (6.2) and pre-vote (9.6).
///
/// After each call of an input, the caller takes output(), does what it says in its order, and
/// calls persisted() once the batch is synced.
class RaftCore
{
public:
    RaftCore(RaftCoreOptions options, const RecoveredState &recovered, Instant now);

    // Inputs.
    void tick(Instant now);
    /// \a token comes back as OutgoingMessage::replyTo if \a message is a request.
    void receive(RaftMessage message, std::uint64_t token, Instant now);
    /// What was last sent to \a replica got no answer.
    void unreachable(ReplicaId replica, Instant now);
    /// Everything in the last output's batch and snapshot is synced.
    void persisted();
    /// A snapshot has been saved here: entries before it may go.
    void compact(const SnapshotMeta &meta);

    /// \errors NotLeader; Unavailable while leadership is being handed over.
    Result<LogIndex> propose(std::string command);
    /// \errors Conflict if formed; InvalidArgument if \a list lacks this replica as a voter.
    Result<LogIndex> form(const MemberList &list, Instant now);
    /// \errors NotLeader; Conflict if it is a member; Unavailable while another change is open.
    Result<LogIndex> addLearner(MemberRecord member);
    /// \errors NotLeader; NotFound; InvalidArgument for the last voter; Unavailable as above.
    Result<LogIndex> removeInstance(const InstanceId &instance);
    /// \errors NotLeader; Unavailable if nobody can take over or a hand-over is under way.
    Result<void> transferLeadership(Instant now);

    // Outputs.
    RaftOutput takeOutput();
    /// Committed entries not yet handed out, at least one if there is any, else at most
    /// \a maxBytes.
    std::vector<LogEntry> takeCommitted(std::size_t maxBytes);

    // State.
    ReplicaId self() const { return this->own; }
    ReplicaRole role() const;
    bool isFormed() const { return this->hard.formation != 0; }
    std::uint64_t formation() const { return this->hard.formation; }
    std::uint64_t term() const { return this->hard.term; }
    ReplicaId leader() const { return this->currentLeader; }
    LogIndex committed() const { return this->commit; }
    LogIndex lastDelivered() const { return this->delivered; }
    /// The leader's own first entry of its term; zero if this replica does not lead.
    LogIndex firstIndexOfTerm() const { return this->noOpIndex; }
    const RaftLog &entries() const { return this->log; }
    const MemberList &members() const { return this->history.back().list; }
    /// Members by the last committed list.
    const MemberList &committedMembers() const;
    /// The list in force at \a index, which must not be before the log's base.
    const MemberList &membersAt(LogIndex index) const;
    const std::map<ReplicaId, Progress> &followers() const { return this->progress; }
    /// As a leader that may change members now: a voter that has not answered for \a goneAfter
    /// and that no learner is to replace yet.
    std::optional<MemberRecord> findUnresponsiveVoter(Milliseconds goneAfter) const;
    bool isTransferring() const { return this->transferTarget != ReplicaId::None; }
    bool isSendingSnapshot() const;
    /// No other replica can lead before this instant; the epoch if that is not known.
    Instant leaseUntil() const;

private:
    struct MembersAt
    {
        LogIndex index = 0;
        MemberList list;
    };

    // raftcore.cpp
    RaftMessage envelope(ReplicaId to, RaftBody body) const;
    void reply(const RaftMessage &request, std::uint64_t token, RaftBody body);
    void sendTo(const MemberRecord &member, RaftBody body, bool beforeSync,
                std::size_t chunkBytes = 0);
    void replyIdentity(const RaftMessage &request, std::uint64_t token);
    void appendEntry(LogEntry entry);
    void truncateFrom(LogIndex index);
    void setTerm(std::uint64_t term);
    void becomeFollower(std::uint64_t term, ReplicaId leader);
    Instant afterElectionTimeout();
    bool isAddressedHere(const RaftMessage &message) const;
    void breakInvariant(std::string message);
    void dispatch(const RaftMessage &message, std::uint64_t token);
    void fromLeader(const RaftMessage &message, std::uint64_t token);

    // raftelection.cpp
    bool mayStand() const;
    void startPreVote();
    void askEarly();
    void onEarlyReply(ReplicaId from, const VoteReply &answer);
    VoteReply earlyReply(const RaftMessage &message, const VoteRequest &request) const;
    bool isFresh() const;
    void startElection(bool transfer);
    void becomeLeader();
    void requestVotes(bool preVote, bool transfer);
    void countVotes(bool preVote);
    void onVoteRequest(const RaftMessage &message, const VoteRequest &request, std::uint64_t token);
    void onVoteReply(const RaftMessage &message, const VoteReply &answer);
    void onTimeoutNow(const RaftMessage &message);
    bool hearsLeader() const;
    void onFormRequest(const RaftMessage &message, const FormRequest &request, std::uint64_t token);
    bool isFirstEntry(const LogEntry &entry, std::uint64_t formation) const;
    void adoptFormation(std::uint64_t formation);

    // raftfollower.cpp
    void onAppendRequest(const RaftMessage &message, const AppendRequest &request,
                         std::uint64_t token);
    void onHeartbeatRequest(const RaftMessage &message, const HeartbeatRequest &request,
                            std::uint64_t token);
    void onSnapshotRequest(const RaftMessage &message, const SnapshotRequest &request,
                           std::uint64_t token);
    bool receivePiece(const SnapshotRequest &request);
    void installSnapshot();
    LogIndex retryIndex(LogIndex previous) const;
    void advanceFollowerCommit(LogIndex index);

    // raftleader.cpp
    void leaderTick();
    void sendHeartbeats();
    void sendEntries();
    void sendEntriesTo(const MemberRecord &member, Progress &peer);
    bool sendBatch(const MemberRecord &member, Progress &peer);
    void sendPiece(const MemberRecord &member, Progress &peer);
    void startSnapshot(Progress &peer);
    Progress *answered(const RaftMessage &message, std::int64_t sentAt);
    void onAppendReply(const RaftMessage &message, const AppendReply &answer);
    void onHeartbeatReply(const RaftMessage &message, const HeartbeatReply &answer);
    void onSnapshotReply(const RaftMessage &message, const SnapshotReply &answer);
    void advanceCommit();
    Instant quorumInstant() const;
    void finishTransfer();

    // raftmembership.cpp
    void trackMembers();
    bool mayChangeMembers() const;
    LogIndex proposeMembers(const MemberList &list);
    void onIdentityReply(const RaftMessage &message, const IdentityReply &answer);
    void changeMembersOnTick();
    bool admitReplacement();
    bool promoteLearner();
    bool isCaughtUp(const MemberRecord &member) const;
    bool hasAnswered(ReplicaId replica, Milliseconds within) const;

    RaftCoreOptions options;
    ReplicaId own;
    Instant now;

    HardState hard;
    RaftLog log;
    std::deque<MembersAt> history; ///< the list at the log's base and every one after it
    LogIndex commit = 0;
    LogIndex delivered = 0;
    LogIndex stored = 0;
    SnapshotMeta snapshot; ///< the newest saved here

    ReplicaRole currentRole = ReplicaRole::Follower;
    bool isPreCandidate = false;
    ReplicaId currentLeader = ReplicaId::None;
    Instant heardLeaderAt;
    Instant electionAt;
    std::set<ReplicaId> votes;
    std::uint64_t freshStart = 0; ///< names this start, until a leader is heard or an election won
    Instant earlyAt{}; ///< the next early pre-vote
    std::map<ReplicaId, std::uint64_t> earlyGrants; ///< by voter, with the start that gave it

    std::map<ReplicaId, Progress> progress;
    LogIndex noOpIndex = 0;
    Instant leadsSince{};
    Instant heartbeatAt{};
    ReplicaId transferTarget = ReplicaId::None;
    Instant transferUntil{};
    bool successorTold = false;

    SnapshotMeta incomingMeta;
    std::string incoming;

    RaftOutput pending;
    bool hardChanged = false;
};

} // namespace guavavalve
