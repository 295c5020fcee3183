#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "runtime/httpserver.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace guavavalve {

struct HttpClientOptions
{
    std::size_t maxIdlePerPeer = 4; ///< connections kept open without a request
    std::size_t maxResponseBytes = 8U << 20U;
    Milliseconds connectLimit{1000};
    /// Bytes that the peer does not acknowledge for this long end the connection
    /// (TCP_USER_TIMEOUT), and so does silence to keep-alive probes.
    Milliseconds unacknowledgedLimit{2000};
};

/// Calls HTTP servers over connections that are kept open. Runs on a loop; calls come from it.
class HttpClient
{
public:
    struct Call
    {
        std::string method;
        std::string target; ///< path and query, encoded
        HttpHeaders headers;
        std::string body;
    };

    HttpClient(std::shared_ptr<IoLoop> loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends \a call to \a address ("ip:port"); \a done runs on the loop.
    /// \errors Unavailable with Ran::No if no connection came about; Unavailable with
    /// Ran::Unknown if it broke afterwards; DeadlineExceeded with Ran::Unknown. Nothing is sent
    /// twice. After a deadline all idle connections to the peer go: what silenced one may have
    /// silenced its siblings, and they would take the next call with them.
    void call(const std::string &address, Call call, Instant deadline, Done<HttpResponse> done);

    /// Connections opened so far.
    std::uint64_t connectionsOpened() const;

private:
    struct Pool;
    class Connection;
    std::shared_ptr<Pool> pool;
};

} // namespace guavavalve
