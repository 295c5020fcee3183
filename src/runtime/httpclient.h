#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "runtime/httpserver.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace guavavalve {

class ByteBudget;

namespace internal {
class HttpClientPool;
}

struct HttpClientOptions
{
    /// Connections to one peer for ordinary calls, which are answered at once; further calls are
    /// queued.
    std::size_t maxPerPeer = 4;
    /// Connections to one peer for long polls: one, and a second for a peer that was restarted
    /// while the long poll to its previous incarnation is still open.
    std::size_t maxLongPollsPerPeer = 2;
    /// Connections to all peers together. When the limit is reached, the connection that has been
    /// idle longest is closed for a peer that has none.
    std::size_t maxConnections = 1024;
    std::size_t maxWaitingPerPeer = 256; ///< queued calls; further ones fail at once
    std::size_t maxResponseBytes = 8U << 20U;
    /// Shared by all responses that are being received; null: only maxResponseBytes bounds them.
    std::shared_ptr<ByteBudget> budget;
    /// A connection is closed when the peer does not acknowledge sent bytes for this long
    /// (TCP_USER_TIMEOUT) or does not answer keep-alive probes.
    Milliseconds tcpUserTimeout{2000};
};

/// The current state of a client's connections, and its totals since it was created.
struct HttpClientStatistics
{
    std::size_t open = 0; ///< connections, in use or idle
    std::size_t waiting = 0; ///< queued calls
    std::uint64_t opened = 0; ///< connections opened
    std::uint64_t evicted = 0; ///< idle connections closed to make room for another peer
    std::uint64_t refused = 0; ///< calls that failed because the queue was full
};

/// An HTTP client with a bounded number of persistent connections. It runs on an IoLoop, and
/// call() must be called on that loop.
class HttpClient
{
public:
    struct Call
    {
        std::string method;
        std::string target; ///< path and query, encoded
        HttpHeaders headers;
        std::string body;
        /// Queued calls are sent in this order; 0 is the most urgent.
        std::uint32_t urgency = 0;
        /// Latest time to send the call; a call that is still queued then fails, as at its
        /// deadline.
        Instant sendBy = Instant::max();
        /// The server may delay the response on purpose: long polls use separate connections, so
        /// that no other call waits behind one.
        bool isLongPoll = false;
    };

    HttpClient(std::shared_ptr<IoLoop> loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends \a call to \a address ("ip:port"); \a done runs on the loop.
    /// \errors Ran::No if nothing was sent: LimitExceeded if the client has no free connection,
    /// Unavailable or DeadlineExceeded if no connection could be established. Ran::Unknown once
    /// something was sent: Unavailable if the connection broke, DeadlineExceeded if there was no
    /// response in time, LimitExceeded if the responses in progress take too much memory.
    ///
    /// A call is never sent twice. When a call exceeds its deadline, all idle connections to the
    /// peer are closed too: they may be dead for the same reason, and the next call would fail on
    /// one of them.
    void call(const std::string &address, Call call, Instant deadline, Done<HttpResponse> done);

    /// Must be called on the loop, or while the loop is stopped.
    const HttpClientStatistics &statistics() const;

private:
    std::shared_ptr<internal::HttpClientPool> pool;
};

} // namespace guavavalve
