#pragma once

#include <cstdint>

namespace guavavalve {

/// When an instance received a request, on the controller's clock. Taken once for each
/// request, and sent with every attempt to forward it.
///
/// The controller's clock is known from its answers to presence reports. The time is never later
/// than the true one: it counts from when the answer arrived, but names the time at which the
/// answer was sent. So the age that the controller computes is never below the true age, and a call
/// that the network has delayed cannot pass for a new one.
struct CallStamp
{
    std::uint64_t term = 0; ///< of the controller whose clock it is; 0: none is known
    std::int64_t controllerUs = 0; ///< microseconds
    /// The request was sent after this time, however long it was under way to the instance.
    std::int64_t sentUs = 0;

    bool isKnown() const { return this->term != 0; }

    /// Without sentUs, as builds before DatedCall read it.
    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->controllerUs);
    }
};

} // namespace guavavalve
