#pragma once

#include <cstdint>

namespace guavavalve {

/// Events counted by a messenger since its start.
struct MessengerCounters
{
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t badHandshakes = 0; ///< wrong magic, version or cluster
    std::uint64_t unauthenticatedFrames = 0; ///< dropped: the authentication tag is wrong
    std::uint64_t oversizedFrames = 0; ///< dropped: longer than the maximum frame size
    std::uint64_t malformedFrames = 0; ///< dropped: authentic but not decodable
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsReplaced = 0; ///< nothing received within the idle timeout
    std::uint64_t connectionsRefused = 0; ///< over the limit of inbound connections
    std::uint64_t acceptFailures = 0; ///< mostly for want of descriptors
    std::uint64_t callsTimedOut = 0;
    std::uint64_t callsRefused = 0; ///< a bounded queue was full
    std::uint64_t exceptions = 0; ///< thrown by handlers of calls and of replies
};

} // namespace guavavalve
