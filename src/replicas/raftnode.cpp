#include "replicas/raftnode.h"

#include "journal/journal.h"
#include "replicas/founding.h"
#include "replicas/raftdriver.h"

#include <algorithm>
#include <random>
#include <utility>

namespace guavavalve {

namespace {

/// Delay before the storage is reopened; doubles up to the maximum while it keeps failing.
constexpr Milliseconds minReopenDelay{250};
constexpr Milliseconds maxReopenDelay{10000};
/// A storage that works for this long after it was reopened counts as sound again.
constexpr Milliseconds soundAfter{60000};

Error reopeningError(ErrorCode code)
{
    return failure(code, "this replica's storage has failed and is being reopened");
}

} // namespace

RaftNode::RaftNode(RaftOptions settings, std::unique_ptr<Storage> storage, GroupRouter &groupRouter,
                   StateMachine &machine)
    : driver(std::make_shared<internal::RaftDriver>(std::move(settings), std::move(storage),
                                                    groupRouter, machine))
{}

RaftNode::RaftNode(RaftOptions settings, OpenStorage storageOpener, GroupRouter &groupRouter,
                   StateMachine &machine)
    : options(std::move(settings))
    , openStorage(std::move(storageOpener))
    , router(&groupRouter)
    , stateMachine(&machine)
{}

RaftNode::~RaftNode()
{
    this->stop();
}

Result<void> RaftNode::start()
{
    if (!this->openStorage)
        return this->driver->start();
    this->initialState = this->stateMachine->takeSnapshot();
    auto started = this->startDriver(Opening::Start);
    if (!started)
        return started.error();
    {
        const std::lock_guard lock(this->mutex);
        this->driver = std::move(started).value();
    }
    this->reopener = std::thread([this] { this->runReopener(); });
    return boost::outcome_v2::success();
}

Result<std::shared_ptr<internal::RaftDriver>> RaftNode::startDriver(Opening opening)
{
    auto storage = this->openStorage(opening);
    if (!storage)
        return storage.error();
    auto created = std::make_shared<internal::RaftDriver>(
        this->options, std::move(storage).value(), *this->router, *this->stateMachine,
        [this](const Error &error) {
            const std::lock_guard lock(this->mutex);
            this->diskFailure = error;
            this->changed.notify_all();
        });
    if (auto started = created->start(this->initialState); !started)
        return started.error();
    return created;
}

void RaftNode::runReopener()
{
    Milliseconds delay = minReopenDelay;
    Instant soundAt = monotonicNow();
    std::unique_lock lock(this->mutex);
    while (true) {
        this->changed.wait(lock, [this] { return this->stopping || this->diskFailure; });
        if (this->stopping)
            return;
        const Error error = *std::exchange(this->diskFailure, std::nullopt);
        lock.unlock();
        this->stopFailedDriver();
        this->reportDisk(error);
        if (monotonicNow() >= soundAt)
            delay = minReopenDelay;
        lock.lock();
        if (this->changed.wait_for(lock, delay, [this] { return this->stopping; }))
            return;
        delay = std::min(2 * delay, maxReopenDelay);
        lock.unlock();
        auto started = this->startDriver(Opening::AfterFailure);
        soundAt = monotonicNow() + soundAfter;
        if (started)
            this->reportDisk(std::nullopt);
        lock.lock();
        if (started)
            this->driver = std::move(started).value();
        else
            this->diskFailure = started.error();
    }
}

/// Also releases its storage, whose folder is locked as long as it is open.
void RaftNode::stopFailedDriver()
{
    const std::shared_ptr<internal::RaftDriver> failed = this->currentDriver();
    if (!failed)
        return;
    failed->stop();
    const std::lock_guard lock(this->mutex);
    this->lastStatus = failed->status();
    this->lastStatus.role = ReplicaRole::Follower;
    this->lastStatus.leader.clear();
    this->lastStatus.leaderAddress.clear();
    this->driver.reset();
}

void RaftNode::reportDisk(const std::optional<Error> &error) const
{
    if (this->options.onDiskFailure)
        this->options.onDiskFailure(error);
}

std::shared_ptr<internal::RaftDriver> RaftNode::currentDriver() const
{
    const std::lock_guard lock(this->mutex);
    return this->driver;
}

void RaftNode::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    if (this->reopener.joinable())
        this->reopener.join();
    if (const auto current = this->currentDriver())
        current->stop();
}

void RaftNode::propose(std::string command, Done<std::string> done)
{
    if (const auto current = this->currentDriver())
        current->propose(std::move(command), std::move(done));
    else
        done(reopeningError(ErrorCode::NotLeader));
}

ReplicaStatus RaftNode::status() const
{
    if (const auto current = this->currentDriver())
        return current->status();
    const std::lock_guard lock(this->mutex);
    return this->lastStatus;
}

bool RaftNode::holdsLeaderLease() const
{
    const auto current = this->currentDriver();
    return current && current->holdsLeaderLease();
}

void RaftNode::form(std::vector<ReplicaMember> members, Done<Nothing> done)
{
    if (const auto current = this->currentDriver())
        current->form(std::move(members), done);
    else
        done(reopeningError(ErrorCode::Unavailable));
}

void RaftNode::addMember(ReplicaMember member, Done<Nothing> done)
{
    if (const auto current = this->currentDriver())
        current->addMember(std::move(member), done);
    else
        done(reopeningError(ErrorCode::Unavailable));
}

void RaftNode::removeMember(InstanceId instance, Done<Nothing> done)
{
    if (const auto current = this->currentDriver())
        current->removeMember(std::move(instance), done);
    else
        done(reopeningError(ErrorCode::Unavailable));
}

void RaftNode::transferLeadership(Done<Nothing> done)
{
    if (const auto current = this->currentDriver())
        current->transferLeadership(done);
    else
        done(reopeningError(ErrorCode::Unavailable));
}

Result<std::unique_ptr<RaftNode>> openRaftNode(RaftOptions options, GroupRouter &router,
                                               StateMachine &stateMachine)
{
    if (!options.random) {
        options.random = [device = std::make_shared<std::random_device>()] {
            const std::uint64_t high = (*device)();
            return (high << 32U) | (*device)();
        };
    }
    JournalOptions journalOptions;
    journalOptions.clusterId = options.clusterId;
    journalOptions.group = options.group;
    journalOptions.random = options.random;
    auto open = [journalOptions,
                 options](RaftNode::Opening opening) mutable -> Result<std::unique_ptr<Storage>> {
        const bool isReopened = opening == RaftNode::Opening::AfterFailure;
        const Founding founding(options.clusterId, options.group, options.founders);
        if (options.isFirstStart && !isReopened)
            journalOptions.identityIfEmpty = founding.identityOf(options.instance);
        else if (!options.founders.empty())
            journalOptions.identityIfEmpty = Founding::laterIdentity(options.random());
        else
            journalOptions.identityIfEmpty = ReplicaId::None;
        journalOptions.rewritesFiles = isReopened;
        auto journal = openJournal(options.dataFolder, journalOptions);
        if (!journal)
            return journal.error();
        return std::unique_ptr<Storage>(std::move(journal).value());
    };
    auto node =
        std::make_unique<RaftNode>(options, RaftNode::OpenStorage(open), router, stateMachine);
    if (auto started = node->start(); !started)
        return started.error();
    return node;
}

} // namespace guavavalve
