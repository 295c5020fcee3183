#pragma once

#include "core/error.h"
#include "workflows/targetport.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace guavavalve::workflows {

/// An order of the controller that another instance carries to its target.
///
/// It may arrive late, just as an order may that the target itself is slow to accept: by its term,
/// its run number and a lease on the target's own clock, the target decides whether the order is
/// still valid.
struct CarriedOrder
{
    std::string target; ///< target name
    std::int64_t startedAtMs = 0;
    std::string address;
    std::variant<StartOrder, StopOrder, HoldOrder> order;
    /// Counted from the order's arrival, since clocks differ between instances: the time for the
    /// answer, and for sending the order to its target.
    std::int64_t answerWithinMs = 0;
    std::int64_t leaveWithinMs = 0; ///< for starts only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->target, this->startedAtMs, this->address, this->order, this->answerWithinMs,
                this->leaveWithinMs);
    }
};

/// The outcome of a carried order: the target's answer, or the error that took its place.
struct CarriedAnswer
{
    std::variant<Error, OrderAnswer, HoldAnswer> answer;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->answer);
    }
};

} // namespace guavavalve::workflows
