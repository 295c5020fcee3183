#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstddef>
#include <functional>
#include <string>

namespace guavavalve {

/// Settings of a TcpMessenger.
struct MessengerOptions
{
    InstanceId instance;
    std::string listenAddress; ///< "ip:port"; port 0 selects a free port
    std::string clusterId;
    std::string sharedSecret; ///< at least 16 bytes, the same on every instance
    std::size_t maxFrameBytes = 8U << 20U;
    std::size_t maxQueuedBytes = 64U << 20U; ///< waiting to be sent on one connection
    std::size_t maxQueuedCalls = 65536; ///< waiting for a reply on one connection
    std::size_t maxInbound = 1024; ///< connections accepted from others
    std::size_t threads = 2;
    Milliseconds heartbeat{500}; ///< between heartbeats on a connection
    /// A connection on which nothing has arrived for this long is closed; the next call opens a
    /// new one.
    Milliseconds idleTimeout{2000};
    Milliseconds connectTimeout{1000}; ///< for connecting and for the handshake
    /// Delay after a failed connection attempt; doubles with each failure.
    Milliseconds backoffMin{20};
    Milliseconds backoffMax{300};
    /// Called with the text of an exception that a handler of a call or a reply has thrown, on a
    /// thread of the messenger; must not throw.
    std::function<void(const std::string &error)> onException;
};

} // namespace guavavalve
