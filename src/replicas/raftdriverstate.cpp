#include "replicas/raftdriver.h"

#include "core/codec.h"
#include "journal/checksum.h"

#include <algorithm>
#include <utility>

// What has been committed, who leads, and snapshots.

namespace guavavalve::internal {

namespace {

constexpr std::size_t maxApplyBytes = 16U << 20U;
constexpr std::size_t applyBatchBytes = 1U << 20U;
/// Snapshots wait while one is being sent, but not until the log is this much too long.
constexpr std::size_t snapshotPatience = 4;
/// Before a snapshot that the disk refused is taken again: it takes longer to make than a record.
constexpr Milliseconds snapshotPause{1000};

} // namespace

Error RaftDriver::leadershipLost()
{
    Error error = failure(ErrorCode::Unavailable,
                          "leadership was lost while the command was under way; it may yet be "
                          "committed");
    error.ran = Ran::Unknown;
    return error;
}

void RaftDriver::handOutCommitted()
{
    while (this->applier.queuedBytes() < maxApplyBytes) {
        Applier::Batch batch;
        batch.entries = this->core->takeCommitted(applyBatchBytes);
        if (batch.entries.empty())
            return;
        for (const LogEntry &entry : batch.entries) {
            const auto waiter = this->waiting.find(entry.index);
            if (waiter == this->waiting.end() || waiter->second.term != entry.term)
                continue;
            batch.waiting.emplace(entry.index, std::move(waiter->second.done));
            this->waiting.erase(waiter);
        }
        this->applier.push(std::move(batch));
    }
}

/// After handOutCommitted(): what was committed while this replica led is told as committed.
void RaftDriver::watchLeadership()
{
    const bool leads = this->core->role() == ReplicaRole::Leader;
    const std::uint64_t term = leads ? this->core->term() : 0;
    if (term != this->ledTerm) {
        if (this->ledTerm != 0) {
            this->leaseUntil = 0;
            this->failWaiting(leadershipLost());
            for (const Done<Nothing> &done : std::exchange(this->transferring, {}))
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

void RaftDriver::publish()
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
    // Reads under the lease are current only once this term's first entry has been applied.
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

/// Guards against a process that was frozen and wakes as a leader of the past: the clock is read
/// after the freeze, and the lease was counted from before it.
bool RaftDriver::holdsLeaderLease() const
{
    const std::int64_t until = this->leaseUntil.load();
    return this->options.clock().time_since_epoch().count() < until;
}

void RaftDriver::considerSnapshot()
{
    const LogIndex base = this->core->entries().baseIndex();
    const std::size_t entries = this->applier.applied() > base ? this->applier.applied() - base : 0;
    const std::size_t limit = this->options.snapshotAfterEntries + this->options.retainedEntries;
    const bool isLong =
        entries >= limit || this->bytesSinceSnapshot >= this->options.snapshotAfterBytes;
    const bool isVeryLong = entries >= snapshotPatience * limit
        || this->bytesSinceSnapshot >= snapshotPatience * this->options.snapshotAfterBytes;
    if (this->takesSnapshot || !isLong || entries == 0
        || this->options.clock() < this->nextSnapshot)
        return;
    if (this->core->isSendingSnapshot() && !isVeryLong)
        return;
    this->takesSnapshot = true;
    this->bytesSinceSnapshot = 0;
    // The applier will have applied exactly what has been handed out by now.
    SnapshotMeta meta;
    meta.index = this->core->lastDelivered();
    meta.term = this->core->entries().termAt(meta.index).value_or(0);
    meta.members = encode(this->core->membersAt(meta.index));
    this->applier.push(Applier::TakeSnapshot{
        [this, meta](const std::string &state) { this->saveSnapshot(meta, state); }});
}

/// Runs on the applier's thread: writing a large snapshot must not hold up heartbeats.
void RaftDriver::saveSnapshot(SnapshotMeta meta, const std::string &state)
{
    meta.size = state.size();
    meta.checksum = checksumOf(state);
    const auto saved = this->storage->saveSnapshot(meta, state);
    this->post(
        [this, meta, saved] {
            this->takesSnapshot = false;
            if (!saved && saved.error().code == ErrorCode::WriteRefused) {
                this->bytesSinceSnapshot += this->options.snapshotAfterBytes;
                this->nextSnapshot = this->options.clock() + snapshotPause;
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
        Urgency::Kept);
}

void RaftDriver::failWaiting(const Error &error)
{
    for (auto &[index, waiter] : std::exchange(this->waiting, {}))
        waiter.done(error);
    for (Joining &joiner : std::exchange(this->joining, {}))
        joiner.done(error);
}

} // namespace guavavalve::internal
