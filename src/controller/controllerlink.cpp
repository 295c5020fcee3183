#include "controller/controllerlink.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace guavavalve {

namespace {

bool mayGoAgain(ErrorCode code)
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
    unsigned attempts = 0; ///< of these the last one counts, unless an earlier one succeeds
    bool isSettled = false;
    std::string address; ///< of the last attempt
    Instant overdueAt{}; ///< when the last attempt is doubted
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
    assert(!this->replicas.empty() && "name at least one replica's address");
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
        call->overdueAt = now + this->limits.unresponsiveAfter;
    }
    const Instant limit = std::min(call->deadline, now + this->limits.attemptTimeout);
    this->messenger.call(
        address, call->method, call->payload, limit,
        [self = this->shared_from_this(), call, address, attempt](Result<std::string> reply) {
            self->answered(call, address, attempt, std::move(reply));
        });
    if (this->limits.unresponsiveAfter.count() > 0)
        this->watch(call, address, attempt);
}

Ran ControllerLink::ranOf(const std::shared_ptr<Call> &call) const
{
    const std::lock_guard lock(this->mutex);
    return call->mayHaveRun ? Ran::Unknown : Ran::No;
}

/// True for the first to settle the call.
bool ControllerLink::settle(const std::shared_ptr<Call> &call)
{
    const std::lock_guard lock(this->mutex);
    this->underWay.erase(call);
    return !std::exchange(call->isSettled, true);
}

void ControllerLink::answered(const std::shared_ptr<Call> &call, const std::string &address,
                              unsigned attempt, Result<std::string> reply)
{
    const bool mayRepeat = !reply && mayGoAgain(reply.error().code);
    {
        const std::lock_guard lock(this->mutex);
        const bool isLatest = attempt == call->attempts;
        if (call->isSettled || (!isLatest && !reply))
            return; // another attempt decides
        if (reply && isLatest)
            this->leader = address;
        call->mayHaveRun |= mayRepeat && reply.error().ran == Ran::Unknown;
    }
    if (mayRepeat) {
        const bool redirected = reply.error().code == ErrorCode::NotLeader;
        this->suspect(address, redirected ? reply.error().message : std::string());
        this->delay(this->limits.retryDelay,
                    [self = this->shared_from_this(), call] { self->attempt(call); });
        return;
    }
    if (this->settle(call))
        call->done(std::move(reply));
}

/// Guards against calls that wait out a try at a controller that is frozen or cut off: the others
/// had a new one 0.3 to 0.6 s before, and nobody told the instances that callers reach.
void ControllerLink::watch(const std::shared_ptr<Call> &call, const std::string &address,
                           unsigned attempt)
{
    {
        const std::lock_guard lock(this->mutex);
        if (call->isSettled)
            return; // the answer was faster
        this->underWay.insert(call);
    }
    this->delay(this->limits.unresponsiveAfter,
                [self = this->shared_from_this(), call, address, attempt] {
                    {
                        const std::lock_guard lock(self->mutex);
                        const bool isOpen = !call->isSettled && call->attempts == attempt;
                        if (!isOpen || std::exchange(self->isAsking, true))
                            return;
                    }
                    self->askOthers(address);
                });
}

/// A call to \a address has been without an answer for too long.
bool ControllerLink::isDoubted(const std::string &address) const
{
    const Instant now = this->clock();
    return std::any_of(this->underWay.begin(), this->underWay.end(), [&](const auto &call) {
        return call->address == address && now >= call->overdueAt;
    });
}

void ControllerLink::askOthers(const std::string &doubted)
{
    std::vector<std::string> others;
    {
        const std::lock_guard lock(this->mutex);
        others = this->replicas;
    }
    const Instant limit = this->clock() + this->limits.unresponsiveAfter;
    for (const std::string &other : others) {
        if (other == doubted)
            continue;
        this->messenger.call(other, Method::FindLeader, {}, limit,
                             [self = this->shared_from_this(), doubted](
                                 const Result<std::string> &leads) { self->told(doubted, leads); });
    }
    this->delay(this->limits.unresponsiveAfter, [self = this->shared_from_this(), doubted] {
        {
            const std::lock_guard lock(self->mutex);
            self->isAsking = self->isDoubted(doubted);
            if (!self->isAsking)
                return;
        }
        self->askOthers(doubted);
    });
}

/// A replica follows another leader than the one that does not answer: what waits for that one
/// goes to the new one at once, as it would after the try. An answer that still comes counts.
void ControllerLink::told(const std::string &doubted, const Result<std::string> &leads)
{
    if (!leads || leads.value().empty() || leads.value() == doubted)
        return;
    std::vector<std::shared_ptr<Call>> moved;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &call : this->underWay) {
            if (call->address != doubted)
                continue;
            call->mayHaveRun = true;
            moved.push_back(call);
        }
        if (moved.empty())
            return;
        this->leader = leads.value();
    }
    for (const auto &call : moved)
        this->attempt(call);
}

void ControllerLink::setReplicas(std::vector<std::string> known)
{
    const std::lock_guard lock(this->mutex);
    if (!known.empty())
        this->replicas = std::move(known);
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
    return this->replicas[this->turn++ % this->replicas.size()];
}

void ControllerLink::suspect(const std::string &address, const std::string &leader)
{
    const std::lock_guard lock(this->mutex);
    // Another call may have found the new controller meanwhile.
    if (this->leader.empty() || this->leader == address)
        this->leader = leader == address ? std::string() : leader;
}

} // namespace guavavalve
