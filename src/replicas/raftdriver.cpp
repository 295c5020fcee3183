#include "replicas/raftdriver.h"

#include "core/codec.h"

#include <cstdio>
#include <cstdlib>
#include <random>
#include <utility>

// Start, stop, and the calls from other threads.

namespace guavavalve::internal {

namespace {

constexpr std::size_t maxQueuedTasks = 65536;

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
    core.snapshotChunkBytes = options.snapshotChunkBytes;
    core.maxSnapshotBytes = options.maxSnapshotBytes;
    core.retainedEntries = options.retainedEntries;
    core.retainedBytes = options.retainedBytes;
    core.minCopies = options.minCopies;
    core.goneAfter = options.goneAfter;
    if (options.goneAfter > Milliseconds(0))
        core.learnerTimeout = options.goneAfter; // another spare waits for its place
    core.random = options.random;
    return core;
}

Error diskFullError()
{
    return failure(ErrorCode::Unavailable, "this replica's disk is full");
}

void abortProcess(const Error &error)
{
    std::fprintf(stderr, "replicated log: unrecoverable error, aborting the process: %s\n",
                 error.message.c_str());
    std::abort();
}

} // namespace

RaftDriver::RaftDriver(RaftOptions settings, std::unique_ptr<Storage> store,
                       GroupRouter &groupRouter, StateMachine &machine,
                       std::function<void(const Error &)> diskFailureHook)
    : options(std::move(settings))
    , onDiskFailure(std::move(diskFailureHook))
    , storage(std::move(store))
    , router(groupRouter)
    , stateMachine(machine)
    , applier(machine, options.onLeadership)
{
    if (!this->options.random)
        this->options.random = secureRandom();
    if (!this->options.onStorageFailure)
        this->options.onStorageFailure = abortProcess;
}

RaftDriver::~RaftDriver() = default;

Result<void> RaftDriver::start(const std::optional<std::string> &initialState)
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
    } else if (initialState) {
        if (auto restored = this->stateMachine.restoreSnapshot(*initialState); !restored)
            return restored.error();
    }
    this->core =
        std::make_unique<RaftCore>(coreOptions(this->options), state, this->options.clock());
    this->formation =
        std::make_unique<GroupFormation>(this->options, *this->core, this->formationHooks());
    if (auto founded = this->resumeFounding(); !founded)
        return founded.error();
    this->bytesSinceSnapshot = this->core->entries().bytes();
    this->publishStatus();
    this->running = true;
    const std::weak_ptr<RaftDriver> weak = this->weak_from_this();
    this->applier.start(
        applied,
        [this] {
            // Wakes the log's thread, which reads applied() itself.
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

Result<void> RaftDriver::resumeFounding()
{
    if (!this->formation->resumeFounding())
        return boost::outcome_v2::success();
    const RaftOutput output = this->core->takeOutput();
    if (auto written = this->storage->write(output.batch); !written)
        return written.error();
    this->core->persisted();
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
    this->failPending(leadershipLostError());
    for (const Done<Nothing> &done : std::exchange(this->pendingTransfers, {}))
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

bool RaftDriver::post(Task task, OverflowPolicy overflowPolicy)
{
    {
        const std::lock_guard lock(this->mutex);
        const bool isFull =
            overflowPolicy == OverflowPolicy::Reject && this->tasks.size() >= maxQueuedTasks;
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
        this->formation->onMessage(message);
        const std::uint64_t token = ++this->lastToken;
        if (this->exceedsUnsavedLimit) {
            reply(diskFullError());
            return;
        }
        this->replies.emplace(token, std::move(reply));
        this->core->receive(std::move(message), token, this->options.clock());
    };
    if (!this->post(std::move(task)))
        reply(
            failure(ErrorCode::Unavailable, "this replica is stopping or its task queue is full"));
}

void RaftDriver::propose(std::string command, Done<std::string> done)
{
    const std::size_t bytes = command.size();
    if (bytes > this->options.maxCommandBytes) {
        done(failure(ErrorCode::InvalidArgument, "the command exceeds the maximum command size"));
        return;
    }
    // Bounds the memory in use while commits stall: commands that cannot be queued are rejected
    // immediately and are guaranteed not to be proposed.
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

void RaftDriver::run() noexcept
{
    const Microseconds maxWait = this->options.heartbeat / 4;
    while (true) {
        std::vector<Task> work;
        std::vector<Proposal> proposed;
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait_for(lock, maxWait, [this] {
                return this->stopping || !this->tasks.empty() || !this->proposals.empty();
            });
            if (this->stopping)
                return;
            work = std::exchange(this->tasks, {});
            proposed = std::exchange(this->proposals, {});
        }
        if (this->hasFailed) {
            for (const Proposal &proposal : proposed)
                proposal.done(failure(ErrorCode::Unavailable, "this replica's storage has failed"));
            continue;
        }
        for (const Task &task : work)
            task();
        if (this->exceedsUnsavedLimit) {
            // The rest of the group continues without this replica, as if it were partitioned.
            for (const Proposal &proposal : proposed)
                proposal.done(diskFullError());
            this->storeUnsaved();
            continue;
        }
        // Ticks only after the messages have been handled: a thread that was delayed must not
        // mistake its own delay for a missing heartbeat.
        this->core->tick(this->options.clock());
        this->takeProposals(std::move(proposed));
        this->processOutput();
    }
}

void RaftDriver::takeProposals(std::vector<Proposal> proposed)
{
    for (Proposal &proposal : proposed) {
        auto index = this->core->propose(std::move(proposal.command));
        if (index) {
            this->pendingProposals.emplace(
                index.value(), PendingProposal{this->core->term(), std::move(proposal.done)});
            continue;
        }
        Error error = index.error();
        if (error.code == ErrorCode::NotLeader) {
            const std::lock_guard lock(this->mutex);
            if (!this->published.leader.empty())
                error.message += "; the leader is " + this->published.leader;
        }
        proposal.done(std::move(error));
    }
}

/// Guards against acknowledging data that is not on the disk: after a failed write or sync nothing
/// more is sent or acknowledged.
void RaftDriver::fail(const Error &error)
{
    this->hasFailed = true;
    this->leaseUntil = 0;
    if (this->onDiskFailure && error.code == ErrorCode::Unavailable)
        this->onDiskFailure(error);
    else
        this->options.onStorageFailure(error);
}

} // namespace guavavalve::internal
