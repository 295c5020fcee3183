#include "standin/attempttable.h"

#include "runtime/timerqueue.h"
#include "standin/startlog.h"

#include <atomic>
#include <charconv>

using namespace guavavalve;

namespace standin {

namespace {

/// The number after "name=" in \a payload, or \a defaultValue.
std::int64_t payloadNumber(const std::string &payload, const std::string &name,
                           std::int64_t defaultValue)
{
    const std::size_t at = payload.find(name + "=");
    if (at == std::string::npos)
        return defaultValue;
    const char *from = payload.data() + at + name.size() + 1;
    std::int64_t value = defaultValue;
    std::from_chars(from, payload.data() + payload.size(), value);
    return value;
}

AttemptView endedView(AttemptOutcome outcome, std::string answer)
{
    return {AttemptState::Ended, outcome, std::move(answer)};
}

} // namespace

AttemptTable::AttemptTable(TimerQueue &timers, StartLog &startLog, Options options,
                           Incarnation incarnation)
    : timers(timers)
    , startLog(startLog)
    , options(options)
    , firstIncarnation(incarnation)
    , currentIncarnation(incarnation)
{}

void AttemptTable::start(AttemptId id, Incarnation wanted, const std::string &payload,
                         Milliseconds waitFor, const Callback &callback)
{
    this->checkLease();
    const Key key{id.task, id.attempt};
    std::unique_lock lock(this->mutex);
    const auto found = this->attempts.find(key);
    if (found != this->attempts.end()) {
        this->wait(std::move(lock), found->second, waitFor, callback);
        return;
    }
    if (!this->isCurrent(wanted)) {
        const AttemptView view = this->staleIncarnationView(wanted);
        lock.unlock();
        callback(view);
        return;
    }
    if (monotonicNow() >= this->leaseUntil) {
        lock.unlock();
        callback({AttemptState::NoLease, AttemptOutcome::NeverStarted, {}});
        return;
    }
    Attempt &attempt = this->attempts[key];
    attempt.view.state = AttemptState::Running;
    this->run(key, wanted, payload);
    this->wait(std::move(lock), attempt, waitFor, callback);
}

void AttemptTable::run(const Key &key, Incarnation incarnation, const std::string &payload)
{
    this->startLog.recordStart({key.first, key.second}, incarnation, payload);
    this->runningAttempts.insert(key);
    if (static_cast<std::int64_t>(this->runningAttempts.size()) > this->options.slots)
        this->startLog.recordOvercommit({key.first, key.second});
    const bool fails = this->failing || payload.find("fail") != std::string::npos;
    const AttemptOutcome outcome = fails ? AttemptOutcome::Failed : AttemptOutcome::Succeeded;
    std::string answer = fails ? "failed as instructed" : this->makeAnswer(payload);
    const std::int64_t runMs = payloadNumber(payload, "runMs", this->options.runMs);
    auto self = this->shared_from_this();
    this->timers.runAfter(Milliseconds(runMs), [self, key, outcome, answer = std::move(answer)] {
        self->checkLease();
        self->finish(key, outcome, answer);
    });
}

std::string AttemptTable::makeAnswer(const std::string &payload) const
{
    std::string answer = "answer to: " + payload;
    const auto bytes = static_cast<std::size_t>(payloadNumber(
        payload, "answerBytes", static_cast<std::int64_t>(this->options.answerBytes)));
    while (answer.size() < bytes)
        answer.push_back(static_cast<char>('a' + answer.size() % 26));
    return answer;
}

void AttemptTable::wait(std::unique_lock<std::mutex> lock, Attempt &attempt, Milliseconds waitFor,
                        const Callback &callback)
{
    if (attempt.view.state != AttemptState::Running || waitFor.count() == 0) {
        const AttemptView view = attempt.view;
        lock.unlock();
        callback(view);
        return;
    }
    auto called = std::make_shared<std::atomic<bool>>(false);
    attempt.waiters.push_back([called, callback](const AttemptView &view) {
        if (!called->exchange(true))
            callback(view);
    });
    lock.unlock();
    this->timers.runAfter(waitFor, [called, callback] {
        if (!called->exchange(true))
            callback({AttemptState::Running, AttemptOutcome::Failed, {}});
    });
}

void AttemptTable::finish(const Key &key, AttemptOutcome outcome, const std::string &answer)
{
    std::vector<Waiter> waiters;
    AttemptView view;
    {
        const std::lock_guard lock(this->mutex);
        Attempt &attempt = this->attempts[key];
        if (attempt.view.state != AttemptState::Running)
            return;
        this->runningAttempts.erase(key);
        attempt.view = endedView(outcome, answer);
        view = attempt.view;
        waiters.swap(attempt.waiters);
    }
    for (const Waiter &waiter : waiters)
        waiter(view);
}

void AttemptTable::query(AttemptId id, Incarnation wanted, Milliseconds waitFor,
                         const Callback &callback)
{
    this->checkLease();
    std::unique_lock lock(this->mutex);
    const auto found = this->attempts.find({id.task, id.attempt});
    if (found != this->attempts.end() && !found->second.forgotten) {
        this->wait(std::move(lock), found->second, waitFor, callback);
        return;
    }
    const AttemptView view = wanted == 0 || this->isCurrent(wanted)
        ? AttemptView{AttemptState::Unknown, AttemptOutcome::Lost, {}}
        : this->staleIncarnationView(wanted);
    lock.unlock();
    callback(view);
}

AttemptView AttemptTable::stop(AttemptId id, Incarnation wanted)
{
    this->checkLease();
    const Key key{id.task, id.attempt};
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->attempts.find(key);
        if (found == this->attempts.end()) {
            AttemptView view = this->isCurrent(wanted)
                ? endedView(AttemptOutcome::NeverStarted, "refused permanently")
                : this->staleIncarnationView(wanted);
            this->attempts[key].view = view;
            return view;
        }
        if (found->second.view.state == AttemptState::Ended)
            return found->second.view;
    }
    this->finish(key, AttemptOutcome::Stopped, "stopped");
    const std::lock_guard lock(this->mutex);
    return this->attempts[key].view;
}

void AttemptTable::forget(AttemptId id)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->attempts.find({id.task, id.attempt});
    if (found == this->attempts.end() || found->second.view.state != AttemptState::Ended)
        return;
    // The record stays in the table: a start that arrives late must not run the attempt again.
    found->second.forgotten = true;
    found->second.view = endedView(AttemptOutcome::Lost, {});
}

bool AttemptTable::isCurrent(Incarnation wanted) const
{
    return wanted == this->currentIncarnation;
}

AttemptView AttemptTable::staleIncarnationView(Incarnation wanted) const
{
    // Attempts of this process' own incarnations are all in the table, so one that is missing was
    // never started. The outcome of attempts of earlier processes is unknown.
    const bool ofThisProcess =
        wanted >= this->firstIncarnation && wanted <= this->currentIncarnation;
    return endedView(ofThisProcess ? AttemptOutcome::NeverStarted : AttemptOutcome::Lost,
                     "the incarnation has ended");
}

void AttemptTable::extendLease(Incarnation announced, Instant until)
{
    const std::lock_guard lock(this->mutex);
    if (announced != this->currentIncarnation)
        return;
    this->leaseUntil = std::max(this->leaseUntil, until);
}

void AttemptTable::checkLease()
{
    std::vector<Key> expired;
    {
        const std::lock_guard lock(this->mutex);
        const bool hadLease = this->leaseUntil != Instant{};
        if (!hadLease || monotonicNow() < this->leaseUntil)
            return;
        expired.assign(this->runningAttempts.begin(), this->runningAttempts.end());
        this->leaseUntil = Instant{};
        ++this->currentIncarnation;
    }
    for (const Key &key : expired)
        this->finish(key, AttemptOutcome::Stopped, "the lease expired");
}

void AttemptTable::setFailAll(bool fail)
{
    const std::lock_guard lock(this->mutex);
    this->failing = fail;
}

Incarnation AttemptTable::incarnation() const
{
    const std::lock_guard lock(this->mutex);
    return this->currentIncarnation;
}

std::vector<AttemptId> AttemptTable::running() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<AttemptId> ids;
    for (const auto &[task, attempt] : this->runningAttempts)
        ids.push_back({task, attempt});
    return ids;
}

} // namespace standin
