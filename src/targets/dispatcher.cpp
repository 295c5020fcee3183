#include "targets/dispatcher.h"

#include "targets/followedattempt.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>
#include <utility>

namespace guavavalve {

namespace {

using internal::DispatchContext;
using internal::FollowedAttempt;

constexpr std::size_t shardCount = 16;
/// Ended attempts that each shard remembers, so that a resent order is recognised.
constexpr std::size_t maxRememberedEnds = 4096;

using AttemptKey = std::pair<TaskId, AttemptNumber>;

struct Shard
{
    std::mutex mutex;
    std::unordered_map<TaskId, std::shared_ptr<FollowedAttempt>> following;
    std::unordered_map<TaskId, std::map<std::uint64_t, Dispatcher::EndListener>> listeners;
    std::set<AttemptKey> ended;
    std::deque<AttemptKey> endedByAge;
    std::uint64_t lastListenerId = 0;

    void remember(const AttemptKey &key)
    {
        if (!this->ended.insert(key).second)
            return;
        this->endedByAge.push_back(key);
        if (this->endedByAge.size() > maxRememberedEnds) {
            this->ended.erase(this->endedByAge.front());
            this->endedByAge.pop_front();
        }
    }
};

} // namespace

struct Dispatcher::Private : std::enable_shared_from_this<Dispatcher::Private>
{
    explicit Private(std::shared_ptr<DispatchContext> shared)
        : context(std::move(shared))
    {}

    std::shared_ptr<DispatchContext> context;
    std::array<Shard, shardCount> shards;

    Shard &shardOf(TaskId task) { return this->shards[idValue(task) % shardCount]; }
    void execute(DispatchOrder order);
    std::shared_ptr<FollowedAttempt> findOrCreate(DispatchOrder order, bool &isNew);
    void onAttemptEnded(const EndedAttempt &attempt);
};

/// The followed attempt of \a order, created if needed; null if it has ended or a later attempt of
/// the task is already followed.
std::shared_ptr<FollowedAttempt> Dispatcher::Private::findOrCreate(DispatchOrder order, bool &isNew)
{
    Shard &shard = this->shardOf(order.task);
    const std::lock_guard lock(shard.mutex);
    if (shard.ended.count({order.task, order.attempt}) != 0)
        return nullptr;
    std::shared_ptr<FollowedAttempt> &slot = shard.following[order.task];
    if (slot && slot->attempt().attempt == order.attempt)
        return slot;
    if (slot && slot->attempt().attempt > order.attempt)
        return nullptr;
    if (slot) {
        // The controller places a task again only once it knows that the earlier attempt is over.
        slot->drop();
        shard.remember({order.task, slot->attempt().attempt});
        ++this->context->superseded;
    }
    auto self = this->shared_from_this();
    slot = std::make_shared<FollowedAttempt>(
        this->context, std::move(order),
        [self](const EndedAttempt &attempt) { self->onAttemptEnded(attempt); });
    isNew = true;
    return slot;
}

void Dispatcher::Private::execute(DispatchOrder order)
{
    const DispatchAction action = order.action;
    bool isNew = false;
    const std::shared_ptr<FollowedAttempt> attempt = this->findOrCreate(std::move(order), isNew);
    if (!attempt)
        return;
    switch (action) {
    case DispatchAction::Start:
        // Only the first order for an attempt sends its start request. A resent order, or one that
        // follows a query or a stop, must not: the target may have started the attempt already.
        if (isNew)
            attempt->start();
        return;
    case DispatchAction::Follow:
        if (isNew)
            attempt->follow();
        return;
    case DispatchAction::Stop:
        attempt->stop();
        return;
    case DispatchAction::Throttle:
        attempt->throttle();
        break;
    case DispatchAction::Checkpoint:
        attempt->checkpoint();
        break;
    }
    if (isNew)
        attempt->follow();
}

void Dispatcher::Private::onAttemptEnded(const EndedAttempt &attempt)
{
    const AttemptEnd &end = attempt.end;
    std::map<std::uint64_t, EndListener> listeners;
    Shard &shard = this->shardOf(end.task);
    {
        const std::lock_guard lock(shard.mutex);
        shard.remember({end.task, end.attempt});
        const auto found = shard.following.find(end.task);
        if (found != shard.following.end() && found->second->attempt().attempt == end.attempt)
            shard.following.erase(found);
        const auto registered = shard.listeners.find(end.task);
        if (registered != shard.listeners.end()) {
            listeners = std::move(registered->second);
            shard.listeners.erase(registered);
        }
    }
    for (const auto &[listenerId, listener] : listeners)
        listener(attempt);
}

Dispatcher::Dispatcher(ControllerClient &controller, TargetClient &targets, TimerQueue &timers,
                       DispatcherOptions options)
{
    auto context =
        std::shared_ptr<DispatchContext>(new DispatchContext{controller, targets, timers, options});
    this->d = std::make_shared<Private>(std::move(context));
}

Dispatcher::~Dispatcher()
{
    for (Shard &shard : this->d->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[task, attempt] : shard.following)
            attempt->drop();
        shard.following.clear();
        shard.listeners.clear();
    }
}

void Dispatcher::dispatch(std::vector<DispatchOrder> orders)
{
    for (DispatchOrder &order : orders)
        this->d->execute(std::move(order));
}

std::uint64_t Dispatcher::listen(TaskId task, EndListener listener)
{
    Shard &shard = this->d->shardOf(task);
    const std::lock_guard lock(shard.mutex);
    const std::uint64_t listenerId = ++shard.lastListenerId;
    shard.listeners[task][listenerId] = std::move(listener);
    return listenerId;
}

void Dispatcher::stopListening(TaskId task, std::uint64_t listenerId)
{
    Shard &shard = this->d->shardOf(task);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.listeners.find(task);
    if (found == shard.listeners.end())
        return;
    found->second.erase(listenerId);
    if (found->second.empty())
        shard.listeners.erase(found);
}

DispatcherCounters Dispatcher::counters() const
{
    DispatcherCounters counters;
    for (Shard &shard : this->d->shards) {
        const std::lock_guard lock(shard.mutex);
        counters.following += shard.following.size();
    }
    const DispatchContext &context = *this->d->context;
    counters.started = context.started;
    counters.succeeded = context.succeeded;
    counters.failed = context.failed;
    counters.neverStarted = context.neverStarted;
    counters.superseded = context.superseded;
    counters.targetErrors = context.targetErrors;
    counters.reportRetries = context.reportRetries;
    return counters;
}

} // namespace guavavalve
