#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "core/enumnames.h"
#include "workflows/model/runend.h"
#include "workflows/model/targetidentity.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// An order to start a run, as it is sent to a target.
struct StartOrder
{
    TaskAddress task;
    RunNumber run = 0;
    std::string payload;
    std::string checkpoint; ///< to continue from; empty: from the beginning
    std::string ticket; ///< empty: the queue requires none
    std::int64_t leaseUntilMs = 0; ///< by the target's clock
    std::uint64_t fence = 0; ///< a token of FenceSequence
    /// The priority of its queue: waiting orders are sent lowest value first, and stops before
    /// them.
    std::uint32_t priority = 0;
    /// The order is not sent at all if it is still waiting to be sent then.
    Instant sendBy = Instant::max();

    /// Leaves out sendBy, which is a time on this instance's clock.
    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->run, this->payload, this->checkpoint, this->ticket,
                this->leaseUntilMs, this->fence, this->priority);
    }
};

struct StopOrder
{
    TaskAddress task;
    RunNumber run = 0;
    std::uint64_t fence = 0; ///< a token of FenceSequence

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->run, this->fence);
    }
};

/// Asks for the running and the ended runs, and renews the lease of all that are running.
struct HoldOrder
{
    std::int64_t leaseUntilMs = 0; ///< by the target's clock; 0: renews nothing
    std::uint64_t lastSeen = 0; ///< ends up to this number are stored; the target may forget them
    std::int64_t waitMs = 0; ///< how long the target may wait for a run to end before it answers
    std::uint64_t fence = 0; ///< a token of FenceSequence

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->leaseUntilMs, this->lastSeen, this->waitMs, this->fence);
    }
};

/// How a target responded to an order.
enum class OrderReply : std::uint8_t {
    Done, ///< carried out now or earlier
    Settled, ///< the target has stopped or ended a run of the task with this or a higher number
    Late, ///< the lease in the order had expired
    NoRoom,
    NoTicket, ///< the admission ticket is missing or has expired
    Fenced, ///< the target has accepted an order with a higher fencing token
    Refused, ///< by an unhealthy target, or for a malformed order; nothing was done
    OtherIncarnation, ///< another target answers at the address and has done nothing
    /// A later incarnation under the target's name answers at the address. It may have carried out
    /// this order and earlier ones: orders name their target, not its incarnation. The answer to a
    /// HoldOrder contains its lists, or is truncated.
    Reborn,
};

inline constexpr EnumNames<OrderReply, 9> orderReplyNames{{
    {OrderReply::Done, "done"},
    {OrderReply::Settled, "settled"},
    {OrderReply::Late, "late"},
    {OrderReply::NoRoom, "no-room"},
    {OrderReply::NoTicket, "no-ticket"},
    {OrderReply::Fenced, "fenced"},
    {OrderReply::Refused, "refused"},
    {OrderReply::OtherIncarnation, "other-life"},
    {OrderReply::Reborn, "reborn"},
}};

struct OrderAnswer
{
    OrderReply reply = OrderReply::Refused;
    std::int64_t clockMs = 0; ///< the target's clock; 0: not reported

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->reply, this->clockMs);
    }
};

struct RunningTask
{
    TaskAddress task;
    RunNumber run = 0;
    std::string checkpoint; ///< the newest saved one; empty: none
    /// Share of the work that is done; nullopt: not reported.
    std::optional<int> percent = std::nullopt;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->run, this->checkpoint, this->percent);
    }
};

struct ListedEnd
{
    std::uint64_t number = 0; ///< counts the ends within this incarnation
    TaskAddress task;
    RunNumber run = 0;
    RunOutcome outcome = RunOutcome::Failed;
    std::string checkpoint;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->number, this->task, this->run, this->outcome, this->checkpoint);
    }
};

struct HoldAnswer
{
    OrderReply reply = OrderReply::Refused;
    std::int64_t clockMs = 0;
    std::vector<RunningTask> running;
    std::vector<ListedEnd> ends; ///< in ascending order of their numbers
    bool isTruncated = false; ///< the lists may be incomplete

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->reply, this->clockMs, this->running, this->ends, this->isTruncated);
    }
};

/// Sends orders to targets. Answers arrive on the controller's loop. An order without an answer may
/// have been carried out, or may be carried out later, unless its error has Ran::No: then no part
/// of it was sent. LimitExceeded means that this instance had no connection available; all other
/// errors concern the target.
class TargetPort
{
public:
    virtual ~TargetPort() = default;

    virtual void start(const TargetIdentity &target, const StartOrder &order, Instant deadline,
                       Done<OrderAnswer> done) = 0;
    virtual void stop(const TargetIdentity &target, const StopOrder &order, Instant deadline,
                      Done<OrderAnswer> done) = 0;
    virtual void hold(const TargetIdentity &target, const HoldOrder &order, Instant deadline,
                      Done<HoldAnswer> done) = 0;
};

} // namespace guavavalve::workflows
