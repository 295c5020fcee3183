#pragma once

#include "replicas/messengercounters.h"

#include <atomic>
#include <cstdint>

namespace guavavalve::internal {

/// MessengerCounters that several threads may increment concurrently.
struct AtomicCounters
{
    using Counter = std::atomic<std::uint64_t>;

    Counter framesSent{0};
    Counter framesReceived{0};
    Counter bytesSent{0};
    Counter bytesReceived{0};
    Counter badHandshakes{0};
    Counter unauthenticatedFrames{0};
    Counter oversizedFrames{0};
    Counter malformedFrames{0};
    Counter connectionsOpened{0};
    Counter connectionsReplaced{0};
    Counter connectionsRefused{0};
    Counter acceptFailures{0};
    Counter callsTimedOut{0};
    Counter callsRefused{0};
    Counter exceptions{0};

    MessengerCounters load() const
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
        counters.acceptFailures = this->acceptFailures;
        counters.callsTimedOut = this->callsTimedOut;
        counters.callsRefused = this->callsRefused;
        counters.exceptions = this->exceptions;
        return counters;
    }
};

} // namespace guavavalve::internal
