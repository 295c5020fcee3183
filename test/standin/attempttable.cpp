#include "standin/attempttable.h"

#include "runtime/timerqueue.h"
#include "standin/ledger.h"

#include <atomic>
#include <charconv>

using namespace guavavalve;

namespace standin {

namespace {

/// The number after "name=" in \a payload, or \a otherwise.
std::int64_t numberIn(const std::string &payload, const std::string &name, std::int64_t otherwise)
{
    const std::size_t at = payload.find(name + "=");
    if (at == std::string::npos)
        return otherwise;
    const char *from = payload.data() + at + name.size() + 1;
    std::int64_t value = otherwise;
    std::from_chars(from, payload.data() + payload.size(), value);
    return value;
}

AttemptView endedView(AttemptOutcome outcome, std::string answer)
{
    return {Knowledge::Ended, outcome, std::move(answer)};
}

} // namespace

AttemptTable::AttemptTable(TimerQueue &timers, Ledger &ledger, Options options,
                           Incarnation incarnation)
    : timers(timers)
    , ledger(ledger)
    , options(options)
    , firstIncarnation(incarnation)
    , currentIncarnation(incarnation)
{}

void AttemptTable::start(AttemptId id, Incarnation wanted, const std::string &payload,
                         Milliseconds waitFor, const Tell &tell)
{
    this->checkLease();
    const Key key{id.task, id.attempt};
    std::unique_lock lock(this->mutex);
    const auto found = this->attempts.find(key);
    if (found != this->attempts.end()) {
        this->wait(std::move(lock), found->second, waitFor, tell);
        return;
    }
    if (!this->isCurrent(wanted)) {
        const AttemptView view = this->unknown(wanted);
        lock.unlock();
        tell(view);
        return;
    }
    if (monotonicNow() >= this->leaseUntil) {
        lock.unlock();
        tell({Knowledge::NoLease, AttemptOutcome::NeverStarted, {}});
        return;
    }
    Attempt &attempt = this->attempts[key];
    attempt.view.knowledge = Knowledge::Running;
    this->run(key, wanted, payload);
    this->wait(std::move(lock), attempt, waitFor, tell);
}

void AttemptTable::run(const Key &key, Incarnation incarnation, const std::string &payload)
{
    this->ledger.started({key.first, key.second}, incarnation, payload);
    this->runningNow.insert(key);
    if (static_cast<std::int64_t>(this->runningNow.size()) > this->options.slots)
        this->ledger.overcommitted({key.first, key.second});
    const bool fails = this->failing || payload.find("fail") != std::string::npos;
    const AttemptOutcome outcome = fails ? AttemptOutcome::Failed : AttemptOutcome::Succeeded;
    std::string answer = fails ? "failed as told" : this->answerTo(payload);
    const std::int64_t runMs = numberIn(payload, "runMs", this->options.runMs);
    auto self = this->shared_from_this();
    this->timers.runAfter(Milliseconds(runMs), [self, key, outcome, answer = std::move(answer)] {
        self->checkLease();
        self->finish(key, outcome, answer);
    });
}

std::string AttemptTable::answerTo(const std::string &payload) const
{
    std::string answer = "answer to: " + payload;
    const auto bytes = static_cast<std::size_t>(
        numberIn(payload, "answerBytes", static_cast<std::int64_t>(this->options.answerBytes)));
    while (answer.size() < bytes)
        answer.push_back(static_cast<char>('a' + answer.size() % 26));
    return answer;
}

void AttemptTable::wait(std::unique_lock<std::mutex> lock, Attempt &attempt, Milliseconds waitFor,
                        const Tell &tell)
{
    if (attempt.view.knowledge != Knowledge::Running || waitFor.count() == 0) {
        const AttemptView view = attempt.view;
        lock.unlock();
        tell(view);
        return;
    }
    auto told = std::make_shared<std::atomic<bool>>(false);
    attempt.waiters.push_back([told, tell](const AttemptView &view) {
        if (!told->exchange(true))
            tell(view);
    });
    lock.unlock();
    this->timers.runAfter(waitFor, [told, tell] {
        if (!told->exchange(true))
            tell({Knowledge::Running, AttemptOutcome::Failed, {}});
    });
}

void AttemptTable::finish(const Key &key, AttemptOutcome outcome, const std::string &answer)
{
    std::vector<Waiter> waiters;
    AttemptView view;
    {
        const std::lock_guard lock(this->mutex);
        Attempt &attempt = this->attempts[key];
        if (attempt.view.knowledge != Knowledge::Running)
            return;
        this->runningNow.erase(key);
        attempt.view = endedView(outcome, answer);
        view = attempt.view;
        waiters.swap(attempt.waiters);
    }
    for (const Waiter &waiter : waiters)
        waiter(view);
}

void AttemptTable::ask(AttemptId id, Incarnation wanted, Milliseconds waitFor, const Tell &tell)
{
    this->checkLease();
    std::unique_lock lock(this->mutex);
    const auto found = this->attempts.find({id.task, id.attempt});
    if (found != this->attempts.end() && !found->second.forgotten) {
        this->wait(std::move(lock), found->second, waitFor, tell);
        return;
    }
    const AttemptView view = wanted == 0 || this->isCurrent(wanted)
        ? AttemptView{Knowledge::Unknown, AttemptOutcome::Lost, {}}
        : this->unknown(wanted);
    lock.unlock();
    tell(view);
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
                ? endedView(AttemptOutcome::NeverStarted, "refused for ever")
                : this->unknown(wanted);
            this->attempts[key].view = view;
            return view;
        }
        if (found->second.view.knowledge == Knowledge::Ended)
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
    if (found == this->attempts.end() || found->second.view.knowledge != Knowledge::Ended)
        return;
    // Its name stays: a start that arrives now must not run it again.
    found->second.forgotten = true;
    found->second.view = endedView(AttemptOutcome::Lost, {});
}

bool AttemptTable::isCurrent(Incarnation wanted) const
{
    return wanted == this->currentIncarnation;
}

AttemptView AttemptTable::unknown(Incarnation wanted) const
{
    // This process knows all that it started since its first incarnation; of what ran before
    // that, it knows nothing.
    const bool ofThisLife = wanted >= this->firstIncarnation && wanted <= this->currentIncarnation;
    return endedView(ofThisLife ? AttemptOutcome::NeverStarted : AttemptOutcome::Lost,
                     "the incarnation is over");
}

void AttemptTable::leased(Incarnation announced, Instant until)
{
    const std::lock_guard lock(this->mutex);
    if (announced != this->currentIncarnation)
        return;
    this->leaseUntil = std::max(this->leaseUntil, until);
}

void AttemptTable::checkLease()
{
    std::vector<Key> lapsed;
    {
        const std::lock_guard lock(this->mutex);
        const bool hadLease = this->leaseUntil != Instant{};
        if (!hadLease || monotonicNow() < this->leaseUntil)
            return;
        lapsed.assign(this->runningNow.begin(), this->runningNow.end());
        this->leaseUntil = Instant{};
        ++this->currentIncarnation;
    }
    for (const Key &key : lapsed)
        this->finish(key, AttemptOutcome::Stopped, "the lease lapsed");
}

void AttemptTable::failAll(bool fail)
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
    for (const auto &[task, attempt] : this->runningNow)
        ids.push_back({task, attempt});
    return ids;
}

} // namespace standin
