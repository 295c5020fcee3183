#pragma once

#include "core/error.h"
#include "workflows/sessions/targetport.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace guavavalve::workflows {

/// An order of the controller that another instance carries to its target.
///
/// It may arrive late, like any order that the target is slow to accept. The target decides by the
/// order's term, its run number and a lease on the target's own clock whether it is still valid.
struct CarriedOrder
{
    std::string target; ///< target name
    std::int64_t startedAtMs = 0;
    std::string address;
    std::variant<StartOrder, StopOrder, HoldOrder> order;
    /// Time for the answer, counted from the order's arrival since clocks differ between instances.
    std::int64_t answerWithinMs = 0;
    /// Time for sending a start to its target, counted in the same way.
    std::int64_t leaveWithinMs = 0;

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
