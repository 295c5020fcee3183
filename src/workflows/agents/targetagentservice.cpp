#include "workflows/agents/targetagentservice.h"

#include "core/codec.h"
#include "replicas/messenger.h"
#include "workflows/agents/carriedorder.h"

#include <string>
#include <utility>

namespace guavavalve::workflows {

namespace {

template<typename Answer>
Done<Answer> replyWith(const Done<std::string> &reply)
{
    return [reply](const Result<Answer> &answer) {
        CarriedAnswer carried;
        if (answer)
            carried.answer = answer.value();
        else
            carried.answer = answer.error();
        reply(encode(carried));
    };
}

TargetIdentity targetOf(const CarriedOrder &carried)
{
    TargetIdentity target;
    target.name = carried.target;
    target.startedAtMs = carried.startedAtMs;
    target.address = carried.address;
    return target;
}

/// Passes each kind of order to the port.
class OrderCarrier
{
public:
    OrderCarrier(TargetPort &port, const CarriedOrder &carried, Instant now,
                 const Done<std::string> &reply)
        : port(port)
        , target(targetOf(carried))
        , deadline(now + Milliseconds(carried.answerWithinMs))
        , sendBy(now + Milliseconds(carried.leaveWithinMs))
        , reply(reply)
    {}

    void operator()(StartOrder order) const
    {
        order.sendBy = this->sendBy;
        this->port.start(this->target, order, this->deadline, replyWith<OrderAnswer>(this->reply));
    }
    void operator()(const StopOrder &order) const
    {
        this->port.stop(this->target, order, this->deadline, replyWith<OrderAnswer>(this->reply));
    }
    void operator()(const HoldOrder &order) const
    {
        this->port.hold(this->target, order, this->deadline, replyWith<HoldAnswer>(this->reply));
    }

private:
    TargetPort &port;
    TargetIdentity target;
    Instant deadline;
    Instant sendBy;
    const Done<std::string> &reply;
};

} // namespace

TargetAgentService::TargetAgentService(TargetPort &port,
                                       std::function<void(std::function<void()>)> post, Clock clock)
    : port(port)
    , post(std::move(post))
    , clock(std::move(clock))
{}

void TargetAgentService::serve(Messenger &messenger)
{
    messenger.handle(
        Method::ForwardOrder,
        [this](const InstanceId &, const std::string &payload, const Done<std::string> &reply) {
            const auto carried = decode<CarriedOrder>(payload);
            if (!carried) {
                reply(carried.error());
                return;
            }
            this->post([this, carried = carried.value(), reply] {
                const OrderCarrier carrier(this->port, carried, this->clock(), reply);
                std::visit(carrier, carried.order);
            });
        });
}

} // namespace guavavalve::workflows
