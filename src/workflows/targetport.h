#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "core/enumnames.h"
#include "workflows/runend.h"
#include "workflows/targetidentity.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// A start as it goes to a target.
struct StartOrder
{
    TaskAddress task;
    RunNumber run = 0;
    std::string payload;
    std::string checkpoint; ///< to go on from; empty: from the beginning
    std::string ticket; ///< empty: the queue needs none
    std::int64_t leaseUntilMs = 0; ///< on the target's clock
    std::uint64_t term = 0; ///< fences off earlier controllers
    std::uint32_t priority = 0; ///< its queue's: orders in line go out lowest first, stops before
    Instant leaveBy = Instant::max(); ///< if it is still in line then, it is not sent at all

    /// Without leaveBy, which counts on this instance's clock.
    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->run, this->payload, this->checkpoint, this->ticket,
                this->leaseUntilMs, this->term, this->priority);
    }
};

struct StopOrder
{
    TaskAddress task;
    RunNumber run = 0;
    std::uint64_t term = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->run, this->term);
    }
};

/// Asks what runs and what has ended, and renews the lease of all that runs.
struct HoldOrder
{
    std::int64_t leaseUntilMs = 0; ///< on the target's clock; 0: renews nothing
    std::uint64_t lastSeen = 0; ///< ends up to this number are stored and may be forgotten
    std::int64_t waitMs = 0; ///< how long the target may wait for an end
    std::uint64_t term = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->leaseUntilMs, this->lastSeen, this->waitMs, this->term);
    }
};

/// How a target took an order.
enum class OrderReply : std::uint8_t {
    Done, ///< carried out, or was already
    Settled, ///< the run is not above one that was stopped or has ended there
    Late, ///< the order's lease had run out
    NoRoom,
    NoTicket, ///< the admission is missing or has run out
    Fenced, ///< a later controller has been there
    Refused, ///< by a target in trouble or for a malformed order; nothing was done
    OtherLife, ///< another life of the target, or another target, answers at the address
};

inline constexpr EnumNames<OrderReply, 8> orderReplyNames{{
    {OrderReply::Done, "done"},
    {OrderReply::Settled, "settled"},
    {OrderReply::Late, "late"},
    {OrderReply::NoRoom, "no-room"},
    {OrderReply::NoTicket, "no-ticket"},
    {OrderReply::Fenced, "fenced"},
    {OrderReply::Refused, "refused"},
    {OrderReply::OtherLife, "other-life"},
}};

struct OrderAnswer
{
    OrderReply reply = OrderReply::Refused;
    std::int64_t clockMs = 0; ///< the target's clock; 0: not said

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
    std::string checkpoint; ///< the newest saved; empty: none
    std::optional<int> percent = std::nullopt; ///< of its work that is done; nothing: not said

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->run, this->checkpoint, this->percent);
    }
};

struct ListedEnd
{
    std::uint64_t number = 0; ///< counts the ends of this life
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
    std::vector<ListedEnd> ends; ///< by number
    bool isTruncated = false; ///< there may be more ends than these

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->reply, this->clockMs, this->running, this->ends, this->isTruncated);
    }
};

/// Carries orders to targets. Answers come on the controller's loop. An order without an answer
/// may have been carried out, or may yet be, unless its error says Ran::No: then nothing of it was
/// sent. LimitExceeded says that the instance itself had no connection to spare; other errors tell
/// of the target.
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
