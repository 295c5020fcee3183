#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace guavavalve {

/// Measurements of one load phase.
struct LoadResult
{
    std::vector<double> latenciesMs; ///< of the answered requests, in ascending order
    std::size_t sent = 0;
    std::size_t answered = 0; ///< answered with status 200
    std::size_t refused = 0; ///< the reply states that the job did not run ("ran": "no")
    std::size_t unknown = 0; ///< it is unknown whether the job ran, or the connection broke
    double seconds = 0.0;
    double longestGapMs = 0.0; ///< longest time between two consecutive answers

    /// The latency in ms at \a fraction (0 to 1) of the sorted latencies; 0 if there are none.
    double percentile(double fraction) const;
    double perSecond() const { return static_cast<double>(this->answered) / this->seconds; }
};

/// The outcome of one request.
enum class RequestOutcome : std::uint8_t { Answered, Refused, Unknown };

/// Sends request number \a sequence and reports its outcome exactly once, from any thread.
using RequestSender =
    std::function<void(std::uint64_t sequence, std::function<void(RequestOutcome)>)>;

/// Open loop: a request is due every 1 / \a rate seconds whether or not earlier requests have been
/// answered. Latency is measured from the time a request is due.
LoadResult runOpenLoop(const RequestSender &send, double rate, Milliseconds length);

/// Closed loop: keeps \a inFlight requests open; each reply triggers the next request.
LoadResult runClosedLoop(const RequestSender &send, std::size_t inFlight, Milliseconds length);

} // namespace guavavalve
