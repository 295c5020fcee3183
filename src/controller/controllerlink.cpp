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
        Error error = failure(ErrorCode::Unavailable, "no controller answered by the deadline");
        error.ran = call->mayHaveRun ? Ran::Unknown : Ran::No;
        error.retryAfter = Milliseconds(1000);
        call->done(error);
        return;
    }
    const std::string address = this->nextAddress();
    const Instant limit = std::min(call->deadline, now + this->limits.tryLimit);
    this->messenger.call(
        address, call->method, call->payload, limit,
        [self = this->shared_from_this(), call, address](Result<std::string> reply) {
            self->answered(call, address, std::move(reply));
        });
}

void ControllerLink::answered(const std::shared_ptr<Call> &call, const std::string &address,
                              Result<std::string> reply)
{
    if (reply) {
        const std::lock_guard lock(this->mutex);
        this->leader = address;
    } else if (mayGoAgain(reply.error().code)) {
        if (reply.error().ran == Ran::Unknown)
            call->mayHaveRun = true;
        const bool redirected = reply.error().code == ErrorCode::NotLeader;
        this->suspect(address, redirected ? reply.error().message : std::string());
        this->delay(this->limits.pauseBetweenTries,
                    [self = this->shared_from_this(), call] { self->attempt(call); });
        return;
    }
    call->done(std::move(reply));
}

void ControllerLink::learn(std::vector<std::string> known)
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
