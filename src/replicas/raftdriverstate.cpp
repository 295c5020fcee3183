#include "replicas/raftdriver.h"

#include "core/codec.h"
#include "journal/checksum.h"

#include <algorithm>
#include <utility>

// Committed entries, leadership and snapshots.

namespace guavavalve::internal {

namespace {

constexpr std::size_t maxApplyBytes = 16U << 20U;
constexpr std::size_t applyBatchBytes = 1U << 20U;
/// A due snapshot is postponed while one is being sent, until the log exceeds its limit this many
/// times.
constexpr std::size_t forcedSnapshotFactor = 4;
/// Delay before a snapshot that the disk refused is taken again; longer than storeRetryDelay since
/// a snapshot takes longer to produce than a log record.
constexpr Milliseconds snapshotRetryDelay{1000};

} // namespace

Error RaftDriver::leadershipLostError()
{
    Error error = failure(ErrorCode::Unavailable,
                          "leadership was lost before the command was committed; it may still be "
                          "committed");
    error.ran = Ran::Unknown;
    return error;
}

void RaftDriver::enqueueCommitted()
{
    while (this->applier.queuedBytes() < maxApplyBytes) {
        Applier::Batch batch;
        batch.entries = this->core->takeCommitted(applyBatchBytes);
        if (batch.entries.empty())
            return;
        for (const LogEntry &entry : batch.entries) {
            const auto pending = this->pendingProposals.find(entry.index);
            if (pending == this->pendingProposals.end() || pending->second.term != entry.term)
                continue;
            batch.pendingProposals.emplace(entry.index, std::move(pending->second.done));
            this->pendingProposals.erase(pending);
        }
        this->applier.push(std::move(batch));
    }
}

/// Called after enqueueCommitted(), so that proposals which were committed while this replica led
/// are reported as committed.
void RaftDriver::updateLeadership()
{
    const bool leads = this->core->role() == ReplicaRole::Leader;
    const std::uint64_t term = leads ? this->core->term() : 0;
    if (term != this->ledTerm) {
        if (this->ledTerm != 0) {
            this->leaseUntil = 0;
            this->failPending(leadershipLostError());
            for (const Done<Nothing> &done : std::exchange(this->pendingTransfers, {}))
                done(Nothing{});
        }
        this->ledTerm = term;
        if (this->announcedTerm != 0)
            this->applier.push(Applier::Leadership{false, std::exchange(this->announcedTerm, 0)});
    }
    const bool isCurrent =
        this->ledTerm != 0 && this->core->lastDelivered() >= this->core->firstIndexOfTerm();
    if (isCurrent && this->announcedTerm == 0) {
        this->announcedTerm = this->ledTerm;
        this->applier.push(Applier::Leadership{true, this->ledTerm});
    }
}

void RaftDriver::publishStatus()
{
    ReplicaStatus status;
    status.role = this->core->role();
    status.formed = this->core->isFormed();
    status.term = this->core->term();
    status.committed = this->core->committed();
    status.applied = this->applier.applied();
    for (const MemberRecord &record : this->core->members().members) {
        ReplicaMember member{record.instance, record.address, record.voter, 0};
        const auto peer = this->core->followers().find(record.replica);
        if (peer != this->core->followers().end())
            member.matchIndex = peer->second.match;
        if (record.replica == this->core->self())
            member.matchIndex = this->core->entries().lastIndex();
        if (record.replica == this->core->leader()) {
            status.leader = record.instance;
            status.leaderAddress = record.address;
        }
        status.members.push_back(std::move(member));
    }
    // Reads under the lease are current only after this term's first entry has been applied.
    const bool isCurrent =
        this->ledTerm != 0 && this->applier.applied() >= this->core->firstIndexOfTerm();
    this->leaseUntil = isCurrent ? this->core->leaseUntil().time_since_epoch().count() : 0;
    const std::lock_guard lock(this->mutex);
    this->published = std::move(status);
}

ReplicaStatus RaftDriver::status() const
{
    const std::lock_guard lock(this->mutex);
    ReplicaStatus status = this->published;
    status.applied = std::max(status.applied, this->applier.applied());
    return status;
}

/// Guards against a process that was suspended and resumes after another replica has become leader:
/// the clock is read after the suspension, while the lease was granted before it.
bool RaftDriver::holdsLeaderLease() const
{
    const std::int64_t until = this->leaseUntil.load();
    return this->options.clock().time_since_epoch().count() < until;
}

void RaftDriver::takeSnapshotIfDue()
{
    const LogIndex base = this->core->entries().baseIndex();
    const std::size_t entries = this->applier.applied() > base ? this->applier.applied() - base : 0;
    const std::size_t limit = this->options.snapshotAfterEntries + this->options.retainedEntries;
    const bool isLong =
        entries >= limit || this->bytesSinceSnapshot >= this->options.snapshotAfterBytes;
    const bool isVeryLong = entries >= forcedSnapshotFactor * limit
        || this->bytesSinceSnapshot >= forcedSnapshotFactor * this->options.snapshotAfterBytes;
    if (this->isTakingSnapshot || !isLong || entries == 0
        || this->options.clock() < this->nextSnapshotAttempt)
        return;
    if (this->core->isSendingSnapshot() && !isVeryLong)
        return;
    this->isTakingSnapshot = true;
    this->bytesSinceSnapshot = 0;
    // The applier takes the snapshot after it has applied exactly the entries delivered so far.
    SnapshotMeta meta;
    meta.index = this->core->lastDelivered();
    meta.term = this->core->entries().termAt(meta.index).value_or(0);
    meta.members = encode(this->core->membersAt(meta.index));
    this->applier.push(Applier::TakeSnapshot{
        [this, meta](const std::string &state) { this->saveSnapshot(meta, state); }});
}

/// Runs on the applier's thread, since writing a large snapshot must not delay heartbeats.
void RaftDriver::saveSnapshot(SnapshotMeta meta, const std::string &state)
{
    meta.size = state.size();
    meta.checksum = checksumOf(state);
    const auto saved = this->storage->saveSnapshot(meta, state);
    this->post(
        [this, meta, saved] {
            this->isTakingSnapshot = false;
            if (!saved && saved.error().code == ErrorCode::WriteRefused) {
                this->bytesSinceSnapshot += this->options.snapshotAfterBytes;
                this->nextSnapshotAttempt = this->options.clock() + snapshotRetryDelay;
                return;
            }
            if (!saved) {
                this->fail(saved.error());
                return;
            }
            this->core->compact(meta);
            if (auto released = this->releaseSegments(meta.index); !released)
                this->fail(released.error());
        },
        OverflowPolicy::Accept);
}

void RaftDriver::failPending(const Error &error)
{
    for (auto &[index, pending] : std::exchange(this->pendingProposals, {}))
        pending.done(error);
    for (PendingJoin &joiner : std::exchange(this->pendingJoins, {}))
        joiner.done(error);
}

} // namespace guavavalve::internal
