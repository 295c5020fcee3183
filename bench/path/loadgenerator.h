#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace guavavalve {

/// What one phase of load came to.
struct LoadResult
{
    std::vector<double> latenciesMs; ///< of the answered requests, sorted
    std::size_t sent = 0;
    std::size_t answered = 0; ///< with the whole answer
    std::size_t refused = 0; ///< ran: no
    std::size_t unknown = 0; ///< ran: unknown, or the connection broke
    double seconds = 0.0;
    double longestGapMs = 0.0; ///< between two answers

    double percentile(double part) const;
    double perSecond() const { return static_cast<double>(this->answered) / this->seconds; }
};

/// How one request ended.
enum class RequestOutcome : std::uint8_t { Answered, Refused, Unknown };

/// Sends request number \a sequence and tells, once and from any thread, how it ended.
using RequestSender =
    std::function<void(std::uint64_t sequence, std::function<void(RequestOutcome)>)>;

/// Open loop: a request is due every 1 / \a rate seconds whether or not earlier ones have been
/// answered, and its latency counts from when it was due.
LoadResult runOpenLoop(const RequestSender &send, double rate, Milliseconds length);

/// Closed loop: \a inFlight requests at once, each followed by the next.
LoadResult runClosedLoop(const RequestSender &send, std::size_t inFlight, Milliseconds length);

} // namespace guavavalve
