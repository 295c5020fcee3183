#include "workflows/controller/controller.h"

#include <utility>

// Cancels of workflows that are not stored.

namespace guavavalve::workflows {

namespace {

/// Each takes about 200 B, in memory and in the snapshot.
constexpr std::size_t maxUnknownCancels = 20000;
constexpr std::size_t maxUnknownCancelsOfAccount = 4000;

} // namespace

/// Guards against a job that runs after its cancel was acknowledged: the request to accept it may
/// have been held up on its way by an instance that stood still, or by the network.
void Controller::cancelUnknown(const CancelUnknown &command, const Done<CommandOutcome> &done)
{
    const auto accept = this->accepting.find(command.id);
    if (accept == this->accepting.end()) {
        this->storeUnknownCancel(command, done);
        return;
    }
    accept->second.waiters.push_back(
        [this, command, done] { this->storeUnknownCancel(command, done); });
}

void Controller::submissionEnded(WorkflowId id)
{
    const auto accept = this->accepting.find(id);
    if (accept == this->accepting.end() || --accept->second.submissions > 0)
        return;
    const Accepting ended = std::move(accept->second);
    this->accepting.erase(accept);
    for (const auto &waiter : ended.waiters)
        waiter();
}

void Controller::storeUnknownCancel(const CancelUnknown &command, const Done<CommandOutcome> &done)
{
    CancelUnknown stamped = command;
    stamped.atMs = this->options.calendarMs();
    const bool isFull = this->machine.read([&](const WorkflowStore &store) {
        const auto [all, own] = store.unknownCancels().leftAt(stamped.atMs, command.account);
        return store.find(command.id) == nullptr
            && (all + this->unknownCancels.size() >= maxUnknownCancels
                || own >= maxUnknownCancelsOfAccount);
    });
    if (isFull) {
        done(failure(ErrorCode::LimitExceeded, "too many unknown jobs were cancelled recently"));
        return;
    }
    const auto received = this->unknownCancels.emplace(
        UnknownCancels::Key(command.account, command.id), this->options.clock());
    this->enqueueSeparately(stamped,
                            [this, received, stamped, done](const Result<CommandOutcome> &outcome) {
                                this->unknownCancels.erase(received);
                                if (outcome && outcome.value() == CommandOutcome::Applied) {
                                    this->countFinished({stamped.id}, stamped.atMs);
                                    this->stopPlaced(stamped.id);
                                }
                                done(outcome);
                            });
}

bool Controller::precedesCancel(const WorkflowSpec &spec, const CallStamp &stamp) const
{
    const UnknownCancels::Key key(spec.account, spec.id);
    const bool isStored = this->machine.read(
        [&](const WorkflowStore &store) { return store.unknownCancels().has(key, spec.queue); });
    Instant cancelledAt = isStored ? this->machine.cancelledAt(key) : Instant{};
    const auto [first, last] = this->unknownCancels.equal_range(key);
    for (auto received = first; received != last; ++received)
        cancelledAt = std::max(cancelledAt, received->second);
    return cancelledAt != Instant{} && !this->isSentAfter(stamp, cancelledAt);
}

bool Controller::isTooOld(const CallStamp &stamp) const
{
    return this->isOwnStamp(stamp) && stamp.isKnown()
        && this->options.clock()
        >= Instant(Microseconds(stamp.controllerUs)) + IntakeLimits().attemptLifetime;
}

void Controller::noteRequest(WorkflowId id, const CallStamp &stamp)
{
    const bool isDated = stamp.isKnown() && this->isOwnStamp(stamp);
    const Instant receivedAt =
        isDated ? Instant(Microseconds(stamp.controllerUs)) : this->options.clock();
    // Attempts may arrive in another order than they were received in.
    this->requests.record(id, std::max(receivedAt, this->requests.latest(id)));
}

/// Guards against a cancel that an instance has held up while its client handed the workflow in
/// again: that request was acknowledged, and the workflow would end all the same.
bool Controller::precedesRequest(WorkflowId id, const CallStamp &stamp) const
{
    return stamp.isKnown() && this->isOwnStamp(stamp)
        && Instant(Microseconds(stamp.controllerUs)) < this->requests.latest(id);
}

/// False also if that is not known.
bool Controller::isSentAfter(const CallStamp &stamp, Instant time) const
{
    return stamp.isKnown() && this->isOwnStamp(stamp)
        && Instant(Microseconds(stamp.sentUs)) >= time;
}

} // namespace guavavalve::workflows
