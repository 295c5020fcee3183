#include "controller/controllerlink.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>

namespace guavavalve {

namespace {

bool isRetryable(ErrorCode code)
{
    return code == ErrorCode::NotLeader || code == ErrorCode::Unavailable
        || code == ErrorCode::DeadlineExceeded;
}

/// A call that this many replicas have received and not survived is not sent to another one: the
/// call itself may be what ended them. Two allow for the loss of one controller.
constexpr std::size_t maxLostReaders = 2;

/// \a ran of the replicas that had received it is not known.
Error readersLostError(std::size_t readers)
{
    Error error = failure(ErrorCode::Unavailable,
                          "the connections to " + std::to_string(readers)
                              + " replicas were lost after they had received the call; it is not "
                                "sent again");
    error.ran = Ran::Unknown;
    error.retryAfter = Milliseconds(1000);
    return error;
}

} // namespace

struct ControllerLink::Call
{
    Method method;
    std::shared_ptr<const std::string> payload; ///< null once settled, as done
    Instant deadline;
    Done<std::string> done;
    bool mayHaveRun = false;
    unsigned attempts = 0;
    unsigned current = 0; ///< the attempt whose result counts, unless another one succeeds
    bool isSettled = false;
    std::string address; ///< of the current attempt
    std::map<std::string, unsigned> open; ///< attempts without a reply, by address
    std::map<std::string, Instant> attemptedAt; ///< the last attempt, by address
    Instant unresponsiveAt{}; ///< when the current attempt counts as unresponsive
    /// Since when the controller has only refused the call; the epoch: it has not.
    Instant refusedSince{};
    std::set<std::string> lostAt; ///< replicas whose connection was lost before they replied
    std::set<std::string> denials; ///< replicas that the call has learned not to lead
    /// Replicas that the call moved to, each with the one that named it.
    std::set<std::pair<std::string, std::string>> moves;

    bool isWaiting() const { return this->open.count(this->address) != 0; }
    bool isUnresponsive(Instant now) const
    {
        return this->isWaiting() && now >= this->unresponsiveAt;
    }
    bool isRefused(Instant now, Milliseconds within) const
    {
        return this->refusedSince != Instant{} && now >= this->refusedSince + within;
    }
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
    call->payload = std::make_shared<const std::string>(std::move(payload));
    call->deadline = deadline;
    call->done = std::move(done);
    this->attempt(call);
}

void ControllerLink::attempt(const std::shared_ptr<Call> &call)
{
    const Instant now = this->clock();
    if (now >= call->deadline) {
        Error error = failure(ErrorCode::Unavailable, "no controller answered by the deadline");
        error.ran = this->ranOf(call);
        error.retryAfter = Milliseconds(1000);
        this->settle(call, error);
        return;
    }
    const std::string address = this->nextAddress();
    if (this->isKeptAt(call, address, now))
        return;
    unsigned attempt = 0;
    std::shared_ptr<const std::string> payload;
    {
        const std::lock_guard lock(this->mutex);
        if (call->isSettled)
            return;
        payload = call->payload;
        if (call->mayHaveRun)
            ++this->repeats;
        attempt = ++call->attempts;
        call->current = attempt;
        if (call->address != address)
            call->refusedSince = {};
        call->address = address;
        call->open[address] = attempt;
        call->attemptedAt[address] = now;
        call->unresponsiveAt = now + this->limits.unresponsiveAfter;
    }
    const bool isMonitored = this->limits.unresponsiveAfter.count() > 0;
    const Instant limit =
        isMonitored ? call->deadline : std::min(call->deadline, now + this->limits.attemptTimeout);
    this->messenger.call(
        address, call->method, *payload, limit,
        [self = this->shared_from_this(), call, address, attempt](Result<std::string> reply) {
            self->replyReceived(call, address, attempt, std::move(reply));
        });
    if (isMonitored)
        this->monitor(call, address, attempt);
}

/// Whether \a address has the call already and has not replied. It then becomes the current attempt
/// again: the connection orders and keeps what is sent on it, so a repetition would be in vain.
bool ControllerLink::isKeptAt(const std::shared_ptr<Call> &call, const std::string &address,
                              Instant now)
{
    unsigned attempt = 0;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = call->open.find(address);
        if (call->isSettled || found == call->open.end())
            return false;
        attempt = found->second;
        call->current = attempt;
        call->address = address;
        call->unresponsiveAt = now + this->limits.unresponsiveAfter;
    }
    this->monitor(call, address, attempt);
    return true;
}

/// Sends a call elsewhere, since nothing is heard from the replica that has it.
void ControllerLink::abandon(const std::shared_ptr<Call> &call)
{
    std::string address;
    {
        const std::lock_guard lock(this->mutex);
        call->mayHaveRun = true;
        address = call->address;
        this->liveness.denied(address);
    }
    this->updateLeader(address, {});
    this->attempt(call);
}

Ran ControllerLink::ranOf(const std::shared_ptr<Call> &call) const
{
    const std::lock_guard lock(this->mutex);
    return call->mayHaveRun ? Ran::Unknown : Ran::No;
}

/// Passes on the result, unless the call was settled before. Timers keep a settled call for a
/// while, but not what it has sent, nor what its callback holds.
void ControllerLink::settle(const std::shared_ptr<Call> &call, Result<std::string> result)
{
    Done<std::string> done;
    {
        const std::lock_guard lock(this->mutex);
        this->inFlight.erase(call);
        call->isSettled = true;
        call->payload.reset();
        done = std::exchange(call->done, nullptr);
    }
    if (done)
        done(std::move(result));
}

void ControllerLink::replyReceived(const std::shared_ptr<Call> &call, const std::string &address,
                                   unsigned attempt, Result<std::string> reply)
{
    const bool retryable = !reply && isRetryable(reply.error().code);
    bool hasLostReaders = false;
    {
        const std::lock_guard lock(this->mutex);
        const auto open = call->open.find(address);
        if (open != call->open.end() && open->second == attempt)
            call->open.erase(open);
        const bool isCurrent = attempt == call->current;
        call->mayHaveRun |= !reply && reply.error().ran == Ran::Unknown;
        if (!reply && this->isReaderLost(address, reply.error()))
            call->lostAt.insert(address);
        if (call->isSettled || (!isCurrent && !reply))
            return; // already settled, or another attempt failed and the current one counts
        if (reply && isCurrent) {
            this->leader = address;
            this->liveness.answered(address, this->clock());
        }
        if (retryable)
            noteRefusal(*call, address, reply.error(), this->clock());
        hasLostReaders = retryable && call->lostAt.size() >= maxLostReaders;
        if (hasLostReaders)
            reply = readersLostError(call->lostAt.size());
        if (!reply && call->mayHaveRun)
            reply.error().ran = Ran::Unknown;
    }
    if (retryable) {
        const bool isKept = this->keepsLeader(address, reply.error());
        if (!isKept) {
            const bool redirected = reply.error().code == ErrorCode::NotLeader;
            this->updateLeader(address, redirected ? reply.error().message : std::string());
        }
        if (hasLostReaders) {
            this->settle(call, std::move(reply));
            return;
        }
        this->delay(this->limits.retryDelay,
                    [self = this->shared_from_this(), call] { self->attempt(call); });
        if (isKept)
            this->probeIfRefused(call);
        return;
    }
    this->settle(call, std::move(reply));
}

/// Whether the connection to \a address was lost after a call had been sent there. One that failed
/// while its connection lives was answered. Call with the mutex locked.
bool ControllerLink::isReaderLost(const std::string &address, const Error &error) const
{
    return error.code == ErrorCode::Unavailable && error.ran == Ran::Unknown
        && !this->messenger.lastHeard(address);
}

/// Whether the controller is still believed to be at \a address after a call to it has failed with
/// \a error: one that is heard and did not answer in time is slow, and one whose connection lives
/// may refuse a call for the moment.
bool ControllerLink::keepsLeader(const std::string &address, const Error &error) const
{
    const std::lock_guard lock(this->mutex);
    if (this->limits.unresponsiveAfter.count() == 0)
        return false;
    const Instant now = this->clock();
    if (error.code == ErrorCode::DeadlineExceeded)
        return now <= this->lastHeard(address) + this->limits.attemptTimeout;
    // The messenger has heard nothing from a replica whose connection was lost.
    const auto frame = this->messenger.lastHeard(address);
    return error.code == ErrorCode::Unavailable && address == this->liveness.controller() && frame
        && now <= *frame + this->limits.attemptTimeout;
}

/// Asks the replicas who leads once the controller has only refused a call for a while.
void ControllerLink::probeIfRefused(const std::shared_ptr<Call> &call)
{
    {
        const std::lock_guard lock(this->mutex);
        const bool isRefused = call->isRefused(this->clock(), this->limits.unresponsiveAfter);
        if (!isRefused || call->isSettled || std::exchange(this->isProbing, true))
            return;
        this->inFlight.insert(call);
    }
    this->probe();
}

/// Records what \a error says of the replica at \a address. Call with the mutex locked.
void ControllerLink::noteRefusal(Call &call, const std::string &address, const Error &error,
                                 Instant now)
{
    if (error.code == ErrorCode::NotLeader)
        call.denials.insert(address);
    if (error.code == ErrorCode::Unavailable && call.refusedSince == Instant{})
        call.refusedSince = now;
}

/// Whether \a call is sent to \a leader because \a by names it. One that has denied to lead is
/// asked again only if another replica names it: a replica that lags behind repeats itself. Call
/// with the mutex locked.
bool ControllerLink::moves(Call &call, const std::string &leader, const std::string &by)
{
    const bool isNew = call.moves.emplace(leader, by).second;
    return isNew || call.denials.count(leader) == 0;
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
                        const bool isOpen =
                            !call->isSettled && (call->current == attempt || self->leader.empty());
                        if (!isOpen || std::exchange(self->isProbing, true))
                            return;
                    }
                    self->probe();
                });
}

/// The last frame from \a address. Call with the mutex locked.
Instant ControllerLink::lastHeard(const std::string &address) const
{
    const auto frame = this->messenger.lastHeard(address);
    return std::max(this->liveness.lastHeard(address), frame.value_or(Instant{}));
}

/// Addresses at which a call has been without a reply for too long. Call with the mutex locked.
std::set<std::string> ControllerLink::unresponsiveAddresses(Instant now) const
{
    std::set<std::string> found;
    for (const auto &call : this->inFlight) {
        if (call->isUnresponsive(now) || call->isRefused(now, this->limits.unresponsiveAfter))
            found.insert(call->address);
    }
    return found;
}

/// The replicas to ask who leads. The unresponsive ones are asked only if nothing has been heard
/// from them for a while, to learn whether they are slow or lost. Call with the mutex locked.
std::vector<std::string> ControllerLink::probedAddresses(const std::set<std::string> &unresponsive,
                                                         Instant now) const
{
    std::vector<std::string> probed;
    for (const std::string &replica : this->replicas) {
        const bool isHeard = now < this->lastHeard(replica) + 2 * this->limits.unresponsiveAfter;
        if (unresponsive.count(replica) == 0 || !isHeard)
            probed.push_back(replica);
    }
    return probed;
}

/// Asks the replicas who leads while calls are unresponsive or no leader is known, and abandons the
/// attempts at replicas that are silent.
void ControllerLink::probe()
{
    const Instant now = this->clock();
    std::set<std::string> unresponsive;
    std::vector<std::string> probed;
    std::vector<std::shared_ptr<Call>> abandoned;
    bool isSearching = false;
    {
        const std::lock_guard lock(this->mutex);
        unresponsive = this->unresponsiveAddresses(now);
        isSearching = this->leader.empty() && !this->inFlight.empty();
        this->isProbing = isSearching || !unresponsive.empty();
        if (!this->isProbing)
            return;
        probed = this->probedAddresses(unresponsive, now);
        std::set<std::string> silent;
        for (const std::string &address : unresponsive) {
            if (now >= this->lastHeard(address) + this->limits.attemptTimeout)
                silent.insert(address);
        }
        for (const auto &call : this->inFlight) {
            if (silent.count(call->address) != 0 && call->isWaiting()
                && now >= call->attemptedAt[call->address] + this->limits.attemptTimeout)
                abandoned.push_back(call);
        }
    }
    for (const auto &call : abandoned)
        this->abandon(call);
    const Instant limit = now + this->limits.attemptTimeout;
    for (const std::string &replica : probed) {
        this->messenger.call(replica, Method::FindLeader, {}, limit,
                             [self = this->shared_from_this(), unresponsive,
                              replica](const Result<std::string> &leads) {
                                 self->leaderReported(unresponsive, replica, leads);
                             });
    }
    // All instances search together while there is no leader.
    this->delay(isSearching ? 2 * this->limits.unresponsiveAfter : this->limits.unresponsiveAfter,
                [self = this->shared_from_this()] { self->probe(); });
}

/// Handles a replica's reply about who leads. If it names another leader than the unresponsive one,
/// the calls that wait there are sent to the new leader at once. A late reply to the earlier
/// attempt is still accepted.
void ControllerLink::leaderReported(const std::set<std::string> &unresponsive,
                                    const std::string &by, const Result<std::string> &leads)
{
    if (!leads)
        return;
    std::vector<std::shared_ptr<Call>> affected;
    bool hasMoved = false;
    {
        const std::lock_guard lock(this->mutex);
        this->liveness.heard(by, this->clock());
        if (leads.value().empty())
            return;
        for (const auto &call : this->inFlight) {
            const bool isAffected = call->isWaiting() && unresponsive.count(call->address) != 0;
            const bool isRefused = call->refusedSince != Instant{}
                && unresponsive.count(call->address) != 0 && call->address == this->leader;
            const bool isElsewhere = call->address != leads.value();
            if (!isElsewhere || !(isAffected || isRefused) || !moves(*call, leads.value(), by))
                continue;
            hasMoved = true;
            if (!isAffected)
                continue;
            call->mayHaveRun = true;
            affected.push_back(call);
        }
        // Calls between two attempts find the leader with their next one.
        if (hasMoved || this->leader.empty())
            this->leader = leads.value();
    }
    for (const auto &call : affected)
        this->attempt(call);
}

void ControllerLink::setReplicas(std::vector<std::string> addresses)
{
    const std::lock_guard lock(this->mutex);
    if (addresses.empty())
        return;
    this->replicas = std::move(addresses);
    this->liveness.keepOnly(this->replicas);
}

Instant ControllerLink::lastContact() const
{
    const std::lock_guard lock(this->mutex);
    const std::string &controller = this->liveness.controller();
    return controller.empty() ? this->liveness.lastContact()
                              : std::max(this->liveness.lastContact(), this->lastHeard(controller));
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
    this->liveness.denied(address);
    // Another call may have found the new controller in the meantime.
    if (this->leader.empty() || this->leader == address)
        this->leader = leader == address ? std::string() : leader;
}

} // namespace guavavalve
