#include "workflows/agents/targetagents.h"

#include "core/codec.h"
#include "replicas/messenger.h"
#include "workflows/log/decisionlog.h"

#include <utility>

namespace guavavalve::workflows {

namespace {

/// How often the list of agents is refreshed. Instances announce their presence every 0.4 s.
constexpr Milliseconds agentRefreshInterval{200};
/// An agent's timeout for a target's answer is shorter by this much than the controller's timeout
/// for the agent.
constexpr Milliseconds replyMargin{50};

std::int64_t msUntil(Instant deadline, Instant now)
{
    return std::chrono::duration_cast<Milliseconds>(deadline - now).count();
}

} // namespace

TargetAgents::TargetAgents(TargetAgentsOptions agentsOptions, TargetPort &own, Messenger &messenger)
    : options(std::move(agentsOptions))
    , own(own)
    , messenger(messenger)
    , pool(this->options.self, this->options.targetsPerAgent)
{}

const InstanceId &TargetAgents::agentFor(const TargetIdentity &target)
{
    const Instant now = this->options.clock();
    if (now >= this->nextAgentRefresh) {
        this->nextAgentRefresh = now + agentRefreshInterval;
        this->pool.setAgents(this->options.agents(), now);
    }
    return this->pool.choose(target.name, now);
}

void TargetAgents::start(const TargetIdentity &target, const StartOrder &order, Instant deadline,
                         Done<OrderAnswer> done)
{
    const InstanceId &agent = this->agentFor(target);
    if (this->isOwn(agent))
        this->own.start(target, order, deadline, std::move(done));
    else
        this->carry(agent, target, order, deadline, std::move(done));
}

void TargetAgents::stop(const TargetIdentity &target, const StopOrder &order, Instant deadline,
                        Done<OrderAnswer> done)
{
    const InstanceId &agent = this->agentFor(target);
    if (this->isOwn(agent))
        this->own.stop(target, order, deadline, std::move(done));
    else
        this->carry(agent, target, order, deadline, std::move(done));
}

void TargetAgents::hold(const TargetIdentity &target, const HoldOrder &order, Instant deadline,
                        Done<HoldAnswer> done)
{
    const InstanceId &agent = this->agentFor(target);
    if (this->isOwn(agent))
        this->own.hold(target, order, deadline, std::move(done));
    else
        this->carry(agent, target, order, deadline, std::move(done));
}

template<typename Order, typename Answer>
void TargetAgents::carry(const InstanceId &agent, const TargetIdentity &target, const Order &order,
                         Instant deadline, Done<Answer> done)
{
    const Instant now = this->options.clock();
    CarriedOrder carried;
    carried.target = target.name;
    carried.startedAtMs = target.startedAtMs;
    carried.address = target.address;
    carried.order = order;
    carried.answerWithinMs = msUntil(deadline - replyMargin, now);
    if constexpr (std::is_same_v<Order, StartOrder>)
        carried.leaveWithinMs = msUntil(order.sendBy, now);
    this->messenger.call(agent, Method::ForwardOrder, encode(carried), deadline,
                         [this, agent, post = this->options.post,
                          done = std::move(done)](Result<std::string> reply) {
                             post([this, agent, done, reply = std::move(reply)] {
                                 this->carried(agent, reply, done);
                             });
                         });
}

/// A failure between the two instances says nothing about the target: a start that was never sent
/// is sent again at once, through another instance.
template<typename Answer>
void TargetAgents::carried(const InstanceId &agent, const Result<std::string> &reply,
                           const Done<Answer> &done)
{
    if (!reply) {
        const bool isUnreachable = reply.error().ran == Ran::No;
        if (this->pool.recordFailure(agent, isUnreachable, this->options.clock()))
            logAgentUnresponsive(agent, this->pool.targetsOf(agent), reply.error());
        Error error = reply.error();
        if (error.ran == Ran::No)
            error.code = ErrorCode::LimitExceeded;
        done(error);
        return;
    }
    this->pool.answered(agent, this->options.clock());
    const auto decoded = decode<CarriedAnswer>(reply.value());
    if (!decoded) {
        Error error = decoded.error();
        error.ran = Ran::Unknown;
        done(error);
    } else if (const auto *answer = std::get_if<Answer>(&decoded.value().answer)) {
        done(*answer);
    } else if (const auto *error = std::get_if<Error>(&decoded.value().answer)) {
        done(*error);
    } else {
        Error other =
            failure(ErrorCode::Corrupt, "the agent's answer does not match the kind of order");
        other.ran = Ran::Unknown;
        done(other);
    }
}

} // namespace guavavalve::workflows
