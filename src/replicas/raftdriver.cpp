#include "replicas/raftdriver.h"

#include "core/codec.h"
#include "journal/checksum.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <utility>

namespace guavavalve::internal {

namespace {

constexpr std::size_t maxQueuedTasks = 65536;
constexpr std::size_t maxApplyBytes = 16U << 20U;
constexpr std::size_t applyBatchBytes = 1U << 20U;
/// Snapshots wait while one is being sent, but not until the log is this much too long.
constexpr std::size_t snapshotPatience = 4;

std::function<std::uint64_t()> secureRandom()
{
    return [device = std::make_shared<std::random_device>()] {
        const std::uint64_t high = (*device)();
        return (high << 32U) | (*device)();
    };
}

RaftCoreOptions coreOptions(const RaftOptions &options)
{
    RaftCoreOptions core;
    core.instance = options.instance;
    core.group = options.group;
    core.heartbeat = options.heartbeat;
    core.electionMin = options.electionMin;
    core.electionMax = options.electionMax;
    core.maxBatchBytes = options.maxBatchBytes;
    core.maxInFlightBytes = options.maxInFlightBytes;
    core.snapshotPieceBytes = options.snapshotPieceBytes;
    core.maxSnapshotBytes = options.maxSnapshotBytes;
    core.keptEntries = options.keptEntries;
    core.random = options.random;
    return core;
}

void stopProcess(const Error &error)
{
    std::fprintf(stderr, "the replicated log must stop the process: %s\n", error.message.c_str());
    std::abort();
}

Method methodOf(const RaftMessage &message)
{
    if (const auto *vote = std::get_if<VoteRequest>(&message.body))
        return vote->preVote ? Method::PreVote : Method::Vote;
    if (std::holds_alternative<SnapshotRequest>(message.body))
        return Method::InstallSnapshot;
    if (std::holds_alternative<TimeoutNow>(message.body))
        return Method::TimeoutNow;
    return Method::AppendEntries;
}

Error leadershipLost()
{
    Error error = failure(ErrorCode::Unavailable,
                          "leadership was lost while the command was under way; it may yet be "
                          "committed");
    error.ran = Ran::Unknown;
    return error;
}

} // namespace

RaftDriver::RaftDriver(RaftOptions settings, std::unique_ptr<Storage> store,
                       GroupRouter &groupRouter, StateMachine &machine)
    : options(std::move(settings))
    , storage(std::move(store))
    , router(groupRouter)
    , stateMachine(machine)
    , applier(machine, options.onLeadership)
{
    if (!this->options.random)
        this->options.random = secureRandom();
    if (!this->options.onStorageFailure)
        this->options.onStorageFailure = stopProcess;
}

RaftDriver::~RaftDriver() = default;

Result<void> RaftDriver::start()
{
    auto recovered = this->storage->recover();
    if (!recovered)
        return recovered.error();
    const RecoveredState &state = recovered.value();
    LogIndex applied = 0;
    if (state.snapshot) {
        if (auto restored = this->stateMachine.restoreSnapshot(state.snapshotState); !restored)
            return restored.error();
        applied = state.snapshot->index;
    }
    this->core =
        std::make_unique<RaftCore>(coreOptions(this->options), state, this->options.clock());
    this->bytesSinceSnapshot = this->core->entries().bytes();
    this->publish();
    this->running = true;
    const std::weak_ptr<RaftDriver> weak = this->weak_from_this();
    this->applier.start(
        applied,
        [this] {
            // Wakes the log's thread; it looks at applied() itself.
            this->post([] {});
        },
        [this](const Error &error) { this->options.onStorageFailure(error); });
    this->thread = std::thread([this] { this->run(); });
    this->router.attach(this->options.group,
                        [weak](const std::string &message, Done<std::string> reply) {
                            if (const auto self = weak.lock())
                                self->receive(message, std::move(reply));
                        });
    return boost::outcome_v2::success();
}

void RaftDriver::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        if (!this->running)
            return;
        this->stopping = true;
    }
    this->router.detach(this->options.group);
    this->changed.notify_all();
    if (this->thread.joinable())
        this->thread.join();
    this->leaseUntil = 0;
    this->failWaiting(leadershipLost());
    for (const Done<Nothing> &done : std::exchange(this->transferring, {}))
        done(failure(ErrorCode::Unavailable, "this replica is stopping"));
    if (this->announcedTerm != 0)
        this->applier.push(Applier::Leadership{false, std::exchange(this->announcedTerm, 0)});
    this->applier.stop();
    std::vector<Proposal> left;
    {
        const std::lock_guard lock(this->mutex);
        this->running = false;
        left = std::exchange(this->proposals, {});
    }
    for (Proposal &proposal : left)
        proposal.done(failure(ErrorCode::NotLeader, "this replica is stopping"));
    for (auto &[token, reply] : this->replies)
        reply(failure(ErrorCode::Unavailable, "this replica is stopping"));
    this->replies.clear();
}

bool RaftDriver::post(Task task, Urgency urgency)
{
    {
        const std::lock_guard lock(this->mutex);
        const bool isFull = urgency == Urgency::Droppable && this->tasks.size() >= maxQueuedTasks;
        if (!this->running || this->stopping || isFull)
            return false;
        this->tasks.push_back(std::move(task));
    }
    this->changed.notify_one();
    return true;
}

void RaftDriver::receive(const std::string &bytes, Done<std::string> reply)
{
    auto message = decode<RaftMessage>(bytes);
    if (!message) {
        reply(message.error());
        return;
    }
    auto task = [this, message = std::move(message).value(), reply]() mutable {
        if (const auto *request = std::get_if<IdentifyRequest>(&message.body)) {
            this->onIdentifyRequest(message, *request, reply);
            return;
        }
        const std::uint64_t token = ++this->lastToken;
        this->replies.emplace(token, std::move(reply));
        this->core->receive(std::move(message), token, this->options.clock());
    };
    if (!this->post(std::move(task)))
        reply(failure(ErrorCode::Unavailable, "this replica is stopping or overloaded"));
}

void RaftDriver::propose(std::string command, Done<std::string> done)
{
    const std::size_t bytes = command.size();
    if (bytes > this->options.maxCommandBytes) {
        done(failure(ErrorCode::InvalidArgument, "the command is larger than a command may be"));
        return;
    }
    // Guards against memory that grows without bound while commits stall: commands that cannot
    // be queued are refused at once, and truly not proposed.
    const std::size_t countBefore = this->unappliedCount.fetch_add(1);
    const std::size_t bytesBefore = this->unappliedBytes.fetch_add(bytes);
    const bool isFull = countBefore >= this->options.maxQueuedProposals
        || bytesBefore + bytes > this->options.maxQueuedBytes;
    Done<std::string> counted = [this, bytes, done = std::move(done)](Result<std::string> outcome) {
        --this->unappliedCount;
        this->unappliedBytes -= bytes;
        done(std::move(outcome));
    };
    if (isFull) {
        counted(failure(ErrorCode::Unavailable, "too many commands are waiting to be committed"));
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        if (this->running && !this->stopping) {
            this->proposals.push_back({std::move(command), std::move(counted)});
            counted = nullptr;
        }
    }
    if (counted)
        counted(failure(ErrorCode::NotLeader, "this replica is not running"));
    else
        this->changed.notify_one();
}

void RaftDriver::run()
{
    const Microseconds longest = this->options.heartbeat / 4;
    while (true) {
        std::vector<Task> work;
        std::vector<Proposal> proposed;
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait_for(lock, longest, [this] {
                return this->stopping || !this->tasks.empty() || !this->proposals.empty();
            });
            if (this->stopping)
                return;
            work = std::exchange(this->tasks, {});
            proposed = std::exchange(this->proposals, {});
        }
        if (this->hasFailed)
            continue;
        for (const Task &task : work)
            task();
        // After the messages: a thread that was held up must not take its own delay for silence.
        this->core->tick(this->options.clock());
        this->takeProposals(std::move(proposed));
        this->pump();
    }
}

void RaftDriver::takeProposals(std::vector<Proposal> proposed)
{
    for (Proposal &proposal : proposed) {
        auto index = this->core->propose(std::move(proposal.command));
        if (index) {
            this->waiting.emplace(index.value(),
                                  Waiting{this->core->term(), std::move(proposal.done)});
            continue;
        }
        Error error = index.error();
        if (error.code == ErrorCode::NotLeader) {
            const std::lock_guard lock(this->mutex);
            if (!this->published.leader.empty())
                error.message += "; " + this->published.leader + " does";
        }
        proposal.done(std::move(error));
    }
}

void RaftDriver::pump()
{
    RaftOutput output = this->core->takeOutput();
    while (!output.isEmpty() && !this->hasFailed) {
        this->carryOut(std::move(output));
        output = this->core->takeOutput();
    }
    if (this->hasFailed)
        return;
    this->answerLeftovers();
    this->handOutCommitted();
    this->watchLeadership();
    this->considerSnapshot();
    this->settleMembers();
    this->replaceGoneVoter();
    this->publish();
}

void RaftDriver::carryOut(RaftOutput output)
{
    if (output.fault) {
        this->fail(*output.fault);
        return;
    }
    this->send(output.beforeSync);
    if (output.snapshot) {
        const InstalledSnapshot &snapshot = *output.snapshot;
        if (auto saved = this->storage->saveSnapshot(snapshot.meta, snapshot.state); !saved) {
            this->fail(saved.error());
            return;
        }
    }
    if (!output.batch.isEmpty()) {
        for (const LogEntry &entry : output.batch.entries)
            this->bytesSinceSnapshot += entryBytes(entry);
        if (auto written = this->storage->write(output.batch); !written) {
            this->fail(written.error());
            return;
        }
    }
    if (output.snapshot) {
        this->bytesSinceSnapshot = 0;
        const LogIndex index = output.snapshot->meta.index;
        this->applier.push(std::move(*output.snapshot));
        if (auto released = this->storage->release(index); !released) {
            this->fail(released.error());
            return;
        }
    }
    this->core->persisted();
    this->send(output.afterSync);
}

void RaftDriver::send(std::vector<OutgoingMessage> &messages)
{
    for (OutgoingMessage &outgoing : messages) {
        if (outgoing.replyTo == 0) {
            this->sendRequest(std::move(outgoing));
            continue;
        }
        const auto reply = this->replies.find(outgoing.replyTo);
        if (reply == this->replies.end())
            continue;
        reply->second(encode(outgoing.message));
        this->replies.erase(reply);
    }
}

void RaftDriver::sendRequest(OutgoingMessage outgoing)
{
    const ReplicaId to = outgoing.message.to;
    if (auto *piece = std::get_if<SnapshotRequest>(&outgoing.message.body)) {
        auto bytes =
            this->storage->readSnapshot(piece->meta.index, piece->offset, outgoing.pieceBytes);
        if (!bytes) {
            this->core->unreachable(to, this->options.clock());
            return;
        }
        piece->piece = std::move(bytes).value();
    }
    const bool isFlowControlled = std::holds_alternative<AppendRequest>(outgoing.message.body)
        || std::holds_alternative<SnapshotRequest>(outgoing.message.body);
    const Instant deadline =
        this->options.clock() + (isFlowControlled ? 4 : 1) * this->options.electionMax;
    this->router.messenger().call(
        outgoing.address, methodOf(outgoing.message), encode(outgoing.message), deadline,
        [weak = this->weak_from_this(), to, isFlowControlled](Result<std::string> reply) {
            if (const auto self = weak.lock())
                self->onReply(to, isFlowControlled, std::move(reply));
        });
}

void RaftDriver::onReply(ReplicaId to, bool isFlowControlled, Result<std::string> reply)
{
    if (!reply) {
        if (isFlowControlled)
            this->post([this, to] { this->core->unreachable(to, this->options.clock()); });
        return;
    }
    auto message = decode<RaftMessage>(reply.value());
    if (!message)
        return;
    this->post([this, message = std::move(message).value()]() mutable {
        this->core->receive(std::move(message), 0, this->options.clock());
    });
}

/// A request that the core dropped gets an answer too, so that the sender need not wait.
void RaftDriver::answerLeftovers()
{
    for (auto &[token, reply] : this->replies)
        reply(failure(ErrorCode::Unavailable, "the replica could not use the message"));
    this->replies.clear();
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
        this->ledTerm != 0 && this->core->handedOut() >= this->core->firstOfTerm();
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
        this->ledTerm != 0 && this->applier.applied() >= this->core->firstOfTerm();
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
    const std::size_t limit = this->options.snapshotAfterEntries + this->options.keptEntries;
    const bool isLong =
        entries >= limit || this->bytesSinceSnapshot >= this->options.snapshotAfterBytes;
    const bool isVeryLong = entries >= snapshotPatience * limit
        || this->bytesSinceSnapshot >= snapshotPatience * this->options.snapshotAfterBytes;
    if (this->takesSnapshot || !isLong || entries == 0)
        return;
    if (this->core->isSendingSnapshot() && !isVeryLong)
        return;
    this->takesSnapshot = true;
    this->bytesSinceSnapshot = 0;
    // The applier will have applied exactly what has been handed out by now.
    SnapshotMeta meta;
    meta.index = this->core->handedOut();
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
            if (!saved) {
                this->fail(saved.error());
                return;
            }
            this->core->compact(meta);
            if (auto released = this->storage->release(meta.index); !released)
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

/// Guards against answering for what is not on the disk: after a failed write or sync nothing
/// more is sent or acknowledged, and the process is told to stop.
void RaftDriver::fail(const Error &error)
{
    this->hasFailed = true;
    this->leaseUntil = 0;
    this->options.onStorageFailure(error);
}

} // namespace guavavalve::internal
