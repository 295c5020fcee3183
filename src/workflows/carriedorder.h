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
/// It may be carried late, as one may be that the target itself is slow to take: its term, the
/// run's number and a lease on the target's own clock decide there whether it still holds.
struct CarriedOrder
{
    std::string target; ///< its name
    std::int64_t startedAtMs = 0;
    std::string address;
    std::variant<StartOrder, StopOrder, HoldOrder> order;
    /// From its arrival, since clocks differ: for the answer, and for leaving the line.
    std::int64_t answerWithinMs = 0;
    std::int64_t leaveWithinMs = 0; ///< of starts

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->target, this->startedAtMs, this->address, this->order, this->answerWithinMs,
                this->leaveWithinMs);
    }
};

/// What came of it: the target's answer, or why there is none.
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
