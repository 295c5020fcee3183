#pragma once

#include "replicas/messengercounters.h"

#include <atomic>
#include <cstdint>

namespace guavavalve::internal {

/// MessengerCounters that several threads count in.
struct CounterCells
{
    using Cell = std::atomic<std::uint64_t>;

    Cell framesSent{0};
    Cell framesReceived{0};
    Cell bytesSent{0};
    Cell bytesReceived{0};
    Cell badHandshakes{0};
    Cell unauthenticatedFrames{0};
    Cell oversizedFrames{0};
    Cell malformedFrames{0};
    Cell connectionsOpened{0};
    Cell connectionsReplaced{0};
    Cell connectionsRefused{0};
    Cell callsTimedOut{0};
    Cell callsRefused{0};

    MessengerCounters read() const
    {
        MessengerCounters counters;
        counters.framesSent = this->framesSent;
        counters.framesReceived = this->framesReceived;
        counters.bytesSent = this->bytesSent;
        counters.bytesReceived = this->bytesReceived;
        counters.badHandshakes = this->badHandshakes;
        counters.unauthenticatedFrames = this->unauthenticatedFrames;
        counters.oversizedFrames = this->oversizedFrames;
        counters.malformedFrames = this->malformedFrames;
        counters.connectionsOpened = this->connectionsOpened;
        counters.connectionsReplaced = this->connectionsReplaced;
        counters.connectionsRefused = this->connectionsRefused;
        counters.callsTimedOut = this->callsTimedOut;
        counters.callsRefused = this->callsRefused;
        return counters;
    }
};

} // namespace guavavalve::internal
