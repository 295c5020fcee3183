#include "controller/controllerlink.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace guavavalve {

namespace {

bool isRetryable(ErrorCode code)
{
    return code == ErrorCode::NotLeader || code == ErrorCode::Unavailable
        || code == ErrorCode::DeadlineExceeded;
}

} // namespace

struct ControllerLink::Call
{
    Method method;
    std::string payload;
    Instant deadline;
    Done<std::string> done;
    bool mayHaveRun = false;
    unsigned attempts = 0; ///< the last one's result counts, unless an earlier one succeeds
    bool isSettled = false;
    std::string address; ///< of the last attempt
    Instant unresponsiveAt{}; ///< when the last attempt counts as unresponsive
};

ControllerLink::ControllerLink(Messenger &messenger, std::vector<std::string> replicas, Delay delay,
                               Clock clock)
    : ControllerLink(messenger, std::move(replicas), std::move(delay), Limits(), std::move(clock))
{}

ControllerLink::ControllerLink(Messenger &messenger, std::vector<std::string> replicas, Delay delay,
                               Limits limits, Clock clock)
    : messenger(messenger)
    , replicas(std::move(replicas))
    , delay(std::move(delay))
    , limits(limits)
    , clock(std::move(clock))
{
    assert(!this->replicas.empty() && "pass the address of at least one replica");
}

void ControllerLink::call(Method method, std::string payload, Instant deadline,
                          Done<std::string> done)
{
    auto call = std::make_shared<Call>();
    call->method = method;
    call->payload = std::move(payload);
    call->deadline = deadline;
    call->done = std::move(done);
    this->attempt(call);
}

void ControllerLink::attempt(const std::shared_ptr<Call> &call)
{
    const Instant now = this->clock();
    if (now >= call->deadline) {
        if (!this->settle(call))
            return;
        Error error = failure(ErrorCode::Unavailable, "no controller answered by the deadline");
        error.ran = this->ranOf(call);
        error.retryAfter = Milliseconds(1000);
        call->done(error);
        return;
    }
    const std::string address = this->nextAddress();
    unsigned attempt = 0;
    {
        const std::lock_guard lock(this->mutex);
        if (call->isSettled)
            return;
        attempt = ++call->attempts;
        call->address = address;
        call->unresponsiveAt = now + this->limits.unresponsiveAfter;
    }
    const Instant limit = std::min(call->deadline, now + this->limits.attemptTimeout);
    this->messenger.call(
        address, call->method, call->payload, limit,
        [self = this->shared_from_this(), call, address, attempt](Result<std::string> reply) {
            self->replyReceived(call, address, attempt, std::move(reply));
        });
    if (this->limits.unresponsiveAfter.count() > 0)
        this->monitor(call, address, attempt);
}

Ran ControllerLink::ranOf(const std::shared_ptr<Call> &call) const
{
    const std::lock_guard lock(this->mutex);
    return call->mayHaveRun ? Ran::Unknown : Ran::No;
}

/// Marks the call as settled. Returns false if it was settled before.
bool ControllerLink::settle(const std::shared_ptr<Call> &call)
{
    const std::lock_guard lock(this->mutex);
    this->inFlight.erase(call);
    return !std::exchange(call->isSettled, true);
}

void ControllerLink::replyReceived(const std::shared_ptr<Call> &call, const std::string &address,
                                   unsigned attempt, Result<std::string> reply)
{
    const bool retryable = !reply && isRetryable(reply.error().code);
    {
        const std::lock_guard lock(this->mutex);
        const bool isLatest = attempt == call->attempts;
        if (call->isSettled || (!isLatest && !reply))
            return; // already settled, or an earlier attempt failed and the latest one counts
        if (reply && isLatest)
            this->leader = address;
        call->mayHaveRun |= retryable && reply.error().ran == Ran::Unknown;
    }
    if (retryable) {
        const bool redirected = reply.error().code == ErrorCode::NotLeader;
        this->updateLeader(address, redirected ? reply.error().message : std::string());
        this->delay(this->limits.retryDelay,
                    [self = this->shared_from_this(), call] { self->attempt(call); });
        return;
    }
    if (this->settle(call))
        call->done(std::move(reply));
}

/// Monitors an attempt, so that a call does not wait for the attempt's timeout at a suspended or
/// partitioned controller. The other replicas elect a new one 0.3 to 0.6 s before that timeout, but
/// do not notify the instances that callers reach.
void ControllerLink::monitor(const std::shared_ptr<Call> &call, const std::string &address,
                             unsigned attempt)
{
    {
        const std::lock_guard lock(this->mutex);
        if (call->isSettled)
            return; // the reply arrived before this function was called
        this->inFlight.insert(call);
    }
    this->delay(this->limits.unresponsiveAfter,
                [self = this->shared_from_this(), call, address, attempt] {
                    {
                        const std::lock_guard lock(self->mutex);
                        const bool isOpen = !call->isSettled && call->attempts == attempt;
                        if (!isOpen || std::exchange(self->isProbing, true))
                            return;
                    }
                    self->probeOtherReplicas(address);
                });
}

/// Whether a call to \a address has been without a response for too long.
bool ControllerLink::isUnresponsive(const std::string &address) const
{
    const Instant now = this->clock();
    return std::any_of(this->inFlight.begin(), this->inFlight.end(), [&](const auto &call) {
        return call->address == address && now >= call->unresponsiveAt;
    });
}

void ControllerLink::probeOtherReplicas(const std::string &unresponsive)
{
    std::vector<std::string> others;
    {
        const std::lock_guard lock(this->mutex);
        others = this->replicas;
    }
    const Instant limit = this->clock() + this->limits.unresponsiveAfter;
    for (const std::string &other : others) {
        if (other == unresponsive)
            continue;
        this->messenger.call(
            other, Method::FindLeader, {}, limit,
            [self = this->shared_from_this(), unresponsive](const Result<std::string> &leads) {
                self->leaderReported(unresponsive, leads);
            });
    }
    this->delay(this->limits.unresponsiveAfter, [self = this->shared_from_this(), unresponsive] {
        {
            const std::lock_guard lock(self->mutex);
            self->isProbing = self->isUnresponsive(unresponsive);
            if (!self->isProbing)
                return;
        }
        self->probeOtherReplicas(unresponsive);
    });
}

/// Handles a replica's reply about who leads. If it names another leader than the unresponsive one,
/// the calls that wait there are sent to the new leader at once, without waiting for the attempt's
/// timeout. A late reply to the earlier attempt is still accepted.
void ControllerLink::leaderReported(const std::string &unresponsive,
                                    const Result<std::string> &leads)
{
    if (!leads || leads.value().empty() || leads.value() == unresponsive)
        return;
    std::vector<std::shared_ptr<Call>> affected;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &call : this->inFlight) {
            if (call->address != unresponsive)
                continue;
            call->mayHaveRun = true;
            affected.push_back(call);
        }
        if (affected.empty())
            return;
        this->leader = leads.value();
    }
    for (const auto &call : affected)
        this->attempt(call);
}

void ControllerLink::setReplicas(std::vector<std::string> addresses)
{
    const std::lock_guard lock(this->mutex);
    if (!addresses.empty())
        this->replicas = std::move(addresses);
}

std::string ControllerLink::controllerAddress() const
{
    const std::lock_guard lock(this->mutex);
    return this->leader;
}

std::string ControllerLink::nextAddress()
{
    const std::lock_guard lock(this->mutex);
    if (!this->leader.empty())
        return this->leader;
    return this->replicas[this->nextReplica++ % this->replicas.size()];
}

void ControllerLink::updateLeader(const std::string &address, const std::string &leader)
{
    const std::lock_guard lock(this->mutex);
    // Another call may have found the new controller in the meantime.
    if (this->leader.empty() || this->leader == address)
        this->leader = leader == address ? std::string() : leader;
}

} // namespace guavavalve
