#pragma once

#include "core/clock.h"
#include "core/error.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace guavavalve {

/// Orders header names without regard to case, as HTTP asks (RFC 9110, section 5.1).
struct HeaderNameLess
{
    using is_transparent = void;
    bool operator()(std::string_view a, std::string_view b) const;
};

using HttpHeaders = std::map<std::string, std::string, HeaderNameLess>;

/// A request that has arrived whole.
struct HttpRequest
{
    std::string method; ///< "GET", "POST", "PUT", "DELETE"
    std::string path; ///< decoded, without the query
    std::map<std::string, std::string> query; ///< decoded
    HttpHeaders headers;
    std::string body;
    std::string remoteAddress; ///< IP of the peer

    /// The value of header \a name, or an empty string.
    std::string header(std::string_view name) const;
    /// The value of query parameter \a name, or an empty string.
    std::string parameter(const std::string &name) const;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    std::string contentType = "application/json";
};

class IoLoop;

/// Answers a request; called once, from any thread. Later calls do nothing.
using HttpReply = std::function<void(HttpResponse)>;

/// Serves a request. It must not block: the reply may come later and from any thread.
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

struct HttpServerOptions
{
    std::string address = "127.0.0.1"; ///< IP to listen on
    std::uint16_t port = 0; ///< 0: a free one
    std::size_t maxBodyBytes = 8U << 20U; ///< larger bodies are refused with 413
    std::size_t maxInFlight = 4096; ///< further requests are refused with 503
    std::size_t maxInFlightPerPeer = 1024; ///< of one IP; further ones are refused with 429
    std::size_t maxHeaderBytes = 32U << 10U; ///< larger headers are refused with 431
    std::size_t maxConnections = 8192; ///< further ones are closed at once
    /// A request must have arrived whole within this time of its first byte's wait, and an answer
    /// must have been taken by the peer within it: a slow peer may not hold a connection for ever.
    Milliseconds transferLimit{30000};
    Milliseconds idleLimit{60000}; ///< a connection without a request is closed after this
    std::shared_ptr<IoLoop> loop; ///< empty: the server runs one of its own
};

/// One HTTP listener (Boost.Beast) with a route table, shared by the packages that speak HTTP.
///
/// Requests on one connection are answered in their order. Handlers run on the server's loop.
class HttpServer
{
public:
    explicit HttpServer(HttpServerOptions options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Serves \a method on \a pathPrefix and all below it; the longest matching prefix wins, and
    /// the method "*" stands for those that have no route of their own. Done before start().
    void route(const std::string &method, const std::string &pathPrefix, HttpHandler handler);

    /// Opens the listener.
    /// \errors Unavailable if the address cannot be bound.
    Result<void> start();

    /// The port that start() bound.
    std::uint16_t port() const;

    /// Refuses requests that arrive from now on with 503, ran "no"; open ones are finished.
    void stopAccepting();

    /// Answers requests as before and closes each connection with its next answer: for a shutdown
    /// while callers go on using their open connections.
    void disableKeepAlive();

    /// Requests taken and not yet answered.
    std::size_t inFlight() const;

    /// Connections that are open. On the loop, or while it is stopped.
    std::size_t connections() const;
    /// Connections closed at once because there were as many as may be. On the loop, as above.
    std::uint64_t rejectedConnections() const;

    /// Waits until inFlight() is zero; false if \a deadline passes first. Not on the loop.
    bool waitUntilIdle(Instant deadline);

    /// Closes the listener and all connections. Not on the loop.
    void close();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace guavavalve
