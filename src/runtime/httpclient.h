#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "runtime/httpserver.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace guavavalve {

namespace internal {
class HttpClientPool;
}

struct HttpClientOptions
{
    /// Connections to one peer for calls with a prompt answer; further calls wait in line.
    std::size_t maxPerPeer = 4;
    /// Connections to one peer for long polls: one, and one for a peer that was restarted while the
    /// answer of its predecessor is still awaited.
    std::size_t maxLongPollsPerPeer = 2;
    /// Connections to all peers together. At this number the one that has been idle longest makes
    /// room for a peer without any.
    std::size_t maxConnections = 1024;
    std::size_t maxWaitingPerPeer = 256; ///< calls in line; further ones fail at once
    std::size_t maxResponseBytes = 8U << 20U;
    /// Bytes that the peer does not acknowledge for this long end the connection
    /// (TCP_USER_TIMEOUT), and so does silence to keep-alive probes.
    Milliseconds unacknowledgedLimit{2000};
};

/// How a client's connections are used at the moment, and what it has counted so far.
struct HttpClientStatistics
{
    std::size_t open = 0; ///< connections, in use or idle
    std::size_t waiting = 0; ///< calls in line
    std::uint64_t opened = 0;
    std::uint64_t evicted = 0; ///< idle connections closed to make room for another peer
    std::uint64_t refused = 0; ///< calls that failed because the line was full
};

/// Calls HTTP servers over a bounded number of connections that are kept open. Runs on a loop;
/// calls come from it.
class HttpClient
{
public:
    struct Call
    {
        std::string method;
        std::string target; ///< path and query, encoded
        HttpHeaders headers;
        std::string body;
        /// Calls in line for a connection leave in this order, lowest first.
        std::uint32_t urgency = 0;
        /// A call that is still in line then fails, as it does at its deadline.
        Instant leaveBy = Instant::max();
        /// The answer may be held back on purpose: the call has connections of its own, so that no
        /// other waits behind it.
        bool isLongPoll = false;
    };

    HttpClient(std::shared_ptr<IoLoop> loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends \a call to \a address ("ip:port"); \a done runs on the loop.
    /// \errors Ran::No while nothing was written: LimitExceeded if this side has no connection to
    /// spare, Unavailable or DeadlineExceeded if none came about. Ran::Unknown afterwards:
    /// Unavailable if the connection broke, DeadlineExceeded. Nothing is sent twice. After a
    /// deadline all idle connections to the peer go: what silenced one may have silenced its
    /// siblings, and they would take the next call with them.
    void call(const std::string &address, Call call, Instant deadline, Done<HttpResponse> done);

    /// On the loop, or while it is stopped.
    const HttpClientStatistics &statistics() const;

private:
    std::shared_ptr<internal::HttpClientPool> pool;
};

} // namespace guavavalve
