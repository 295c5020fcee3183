#pragma once

#include "core/clock.h"
#include "core/enumnames.h"
#include "core/error.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace guavavalve {

/// Case-insensitive order of header names (RFC 9110, section 5.1).
struct HeaderNameLess
{
    using is_transparent = void;
    bool operator()(std::string_view a, std::string_view b) const;
};

using HttpHeaders = std::map<std::string, std::string, HeaderNameLess>;

/// A request that was received completely.
struct HttpRequest
{
    std::string method; ///< "GET", "POST", "PUT", "DELETE"
    std::string path; ///< decoded, without the query
    std::map<std::string, std::string> query; ///< decoded
    HttpHeaders headers;
    std::string body;
    std::string remoteAddress; ///< IP of the peer
    /// The request has reached this machine after this time. It may have waited unread, if the
    /// process stood still. Instant::max(): it was not read from a socket.
    Instant receivedNotBefore = Instant::max();
    /// Its sender has sent it after this time, however long it was under way: its connection was
    /// opened, or the response before it was sent on it.
    Instant sentNotBefore = Instant::max();

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

class ByteBudget;
class IoLoop;

/// Sends the response to a request. May be called on any thread; calls after the first do nothing.
using HttpReply = std::function<void(HttpResponse)>;

/// Serves a request. It must not block; it may call the reply later and on any thread.
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

/// What a connection without a complete request was closed for.
enum class ReclaimReason : std::uint8_t {
    Connections, ///< another one had arrived, and all were in use
    Memory, ///< another request had not found memory
};

inline constexpr EnumNames<ReclaimReason, 2> reclaimReasonNames{{
    {ReclaimReason::Connections, "connections"},
    {ReclaimReason::Memory, "memory"},
}};

struct HttpServerOptions
{
    std::string address = "127.0.0.1"; ///< IP to listen on
    std::uint16_t port = 0; ///< 0: any free port
    std::size_t maxBodyBytes = 8U << 20U; ///< larger bodies are refused with 413
    std::size_t maxInFlight = 4096; ///< further requests are refused with 503
    std::size_t maxInFlightPerPeer = 1024; ///< per IP; further ones are refused with 429
    std::size_t maxHeaderBytes = 32U << 10U; ///< larger headers are refused with 431
    /// When a further one arrives, the one that has waited longest for its request is closed, or
    /// the new one if a request is being served on each.
    std::size_t maxConnections = 8192;
    /// From the first byte of a request to the end of its header, which fits into a few packets.
    Milliseconds headerTimeout{10000};
    /// Limits reading the body of a request, and separately writing a response, so that a slow peer
    /// cannot hold a connection indefinitely.
    Milliseconds transferTimeout{30000};
    Milliseconds idleTimeout{60000}; ///< a connection without a request is closed after this time
    std::shared_ptr<IoLoop> loop; ///< null: the server creates its own
    /// Shared by all that the process reads; null: none. A request that does not fit is refused
    /// with 503 before its body is read, unless others that have stopped to arrive make room.
    std::shared_ptr<ByteBudget> budget;
    /// A connection was closed to make room; may be empty.
    std::function<void(ReclaimReason reason)> onReclaimed;
};

/// An HTTP server (Boost.Beast) with one listener and a route table.
///
/// Requests on one connection are answered in order. Handlers run on the server's loop.
class HttpServer
{
public:
    explicit HttpServer(HttpServerOptions options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Adds a handler for \a method on \a pathPrefix and all paths below it. The longest matching
    /// prefix wins; the method "*" matches every method. Must be called before start().
    void route(const std::string &method, const std::string &pathPrefix, HttpHandler handler);

    /// Reserves the address without serving it: connections are refused until start().
    /// \errors InUse if another socket has the address, Unavailable if it cannot be bound.
    Result<void> bind();
    /// Starts to listen; binds the address first if that has not been done.
    /// \errors as bind().
    Result<void> start();

    /// The port to which start() has bound the listener.
    std::uint16_t port() const;

    /// From now on refuses new requests with 503 and ran "no". Requests in flight are completed,
    /// and each connection is closed with its next response.
    void stopAccepting();

    /// Serves requests as before, but closes each connection with its next response: for a shutdown
    /// during which callers still use their open connections.
    void disableKeepAlive();

    /// Requests admitted whose response is not yet written.
    std::size_t inFlight() const;

    /// Open connections. Must be called on the loop, or while the loop is stopped.
    std::size_t connections() const;
    /// Connections closed at once because requests were being served on maxConnections. Must be
    /// called on the loop, or while the loop is stopped.
    std::uint64_t rejectedConnections() const;
    /// Connections closed to make room for others. Must be called on the loop, or while the loop is
    /// stopped.
    std::uint64_t reclaimedConnections(ReclaimReason reason) const;

    /// Waits until inFlight() is zero; false if \a deadline passes first. Must not be called on the
    /// loop.
    bool waitUntilIdle(Instant deadline);

    /// Closes the listener and all connections. Must not be called on the loop.
    void close();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace guavavalve
